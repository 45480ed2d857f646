//! The `ebonygauge` command.

mod cli;
mod cmd;
mod failure;

use std::process;

fn main() -> process::ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {}", report.current_context());
            report.current_context().exit_code()
        }
    }
}
