//! `ebonygauge check`.

use crate::cmd;

/// Checks a document; a note is told by its `note` field.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let path = cmd::text(matches, "file");
    let (text, origin) = cmd::read(path)?;
    let is_note = text.lines().any(|line| line.starts_with("note:"));
    if is_note {
        let note = config::read_note(&text, &origin).map_err(cmd::invalid)?;
        println!(
            "{path}: note {} with {} changes",
            note.id,
            note.changes.len()
        );
    } else {
        let settings = config::read_settings(&text, &origin).map_err(cmd::invalid)?;
        kernel::plugin::check(&settings.policy).map_err(|problem| {
            cmd::invalid(config::Failure {
                file: path.into(),
                line: 0,
                problem,
            })
        })?;
        println!("{path}: settings of VM {}", settings.vm);
    }
    Ok(())
}
