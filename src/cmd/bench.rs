//! `ebonygauge bench`.

use std::{fs, io, io::IsTerminal, io::Write, time};

use error_stack::Report;

use crate::{cmd, failure};

fn load_failure(error: impl ToString) -> Report<failure::Failure> {
    Report::new(failure::Failure::Load(error.to_string()))
}

/// Runs the selected loads and prints a table with one row for each run.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let name = cmd::arg_value(matches, "deployment");
    let deployment = ::bench::Deployment::try_from(name).map_err(load_failure)?;
    let selected = cmd::arg_value(matches, "load");
    let span = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    let losses = matches.get_one::<u64>("losses").copied().unwrap_or(3);
    let mut json = match matches.get_one::<String>("json") {
        Some(path) => Some(fs::File::create(path).map_err(load_failure)?),
        None => None,
    };
    if matches.get_flag("verbose") {
        telemetry::init("info").map_err(load_failure)?;
    }
    if selected == "slopes" {
        return print_slopes();
    }
    ::bench::print_header();
    for load in ::bench::Load::ALL {
        if selected != "all" && selected != load.to_string() {
            continue;
        }
        for variant in variants(load) {
            print_progress(&format!("{load} {variant} ..."));
            let setup = ::bench::Setup {
                load,
                variant,
                span: time::Duration::from_secs(span),
                losses: usize::try_from(losses).unwrap_or(usize::MAX),
            };
            let row = ::bench::run(&deployment, setup).map_err(load_failure)?;
            ::bench::print_row(&row);
            if let Some(file) = &mut json {
                let line = serde_json::to_string(&row).unwrap_or_default();
                writeln!(file, "{line}").map_err(load_failure)?;
            }
        }
    }
    Ok(())
}

/// Measures the slopes and prints each with the points of its fit.
fn print_slopes() -> cmd::Outcome {
    for slope in ::bench::measure().map_err(load_failure)? {
        let points: Vec<_> = slope
            .points
            .iter()
            .map(|point| format!("{}: {:.1}", point.count, point.cost))
            .collect();
        println!(
            "{:<36} {:>10.3} each, base {:>9.1}  ({})",
            slope.name,
            slope.each,
            slope.base,
            points.join(", ")
        );
    }
    Ok(())
}

fn variants(load: ::bench::Load) -> Vec<::bench::Variant> {
    if load == ::bench::Load::Overhead {
        return vec![::bench::Variant::Product];
    }
    vec![::bench::Variant::Product, ::bench::Variant::Baseline]
}

/// Prints progress if standard error is a terminal.
fn print_progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}
