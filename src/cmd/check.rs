//! `ebonygauge check`.

use crate::cmd;

/// Checks a document, which counts as a release note if a line starts with
/// `note:` and as settings otherwise.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let path = cmd::arg_value(matches, "file");
    let (text, origin) = cmd::read_file(path)?;
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
