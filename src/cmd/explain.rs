//! `ebonygauge explain`.

use crate::{cmd, cmd::http};

/// Prints the decisions of one or more daemons.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let json = matches.get_flag("json");
    let admins = matches.get_many::<String>("admin").unwrap_or_default();
    for admin in admins {
        let answer = http::get(admin, "/explain")?;
        if json {
            print!("{}", answer.body);
            continue;
        }
        for line in answer.body.lines() {
            let value: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let at = value["at"].as_u64().unwrap_or_default();
            let text = value["text"].as_str().unwrap_or_default();
            let vm = value["vm"].as_str().unwrap_or_default();
            println!(
                "{:>10}.{:03} s  {vm}  {text}",
                at / 1_000_000,
                at / 1000 % 1000
            );
        }
    }
    Ok(())
}
