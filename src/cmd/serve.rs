//! `ebonygauge serve`.

use error_stack::Report;
use signal_hook::{consts, iterator};

use crate::{cmd, failure};

/// Runs a daemon until SIGTERM or SIGINT; SIGHUP checks the settings again.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    platform::register();
    let (text, origin) = cmd::read_file(cmd::arg_value(matches, "file"))?;
    let mut settings = config::read_settings(&text, &origin).map_err(cmd::invalid)?;
    let variable = |name: &str| std::env::var(name).ok();
    config::environment::apply(&mut settings, &variable).map_err(cmd::invalid)?;
    let log_failure = |failure| Report::new(failure::Failure::Log(failure));
    telemetry::init(&settings.log_level).map_err(log_failure)?;
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP])
        .map_err(|_| Report::new(failure::Failure::Signals))?;
    let vm = settings.vm.clone();
    let running = daemon::Running::start(settings)
        .map_err(|failure| Report::new(failure::Failure::Daemon(failure)))?;
    let (listen, peer, admin) = (
        running.caller_address(),
        running.peer_address(),
        running.admin_address(),
    );
    log::info!(vm = &**vm, listen:% = listen, peer:% = peer, admin:% = admin; "listening");
    for signal in signals.forever() {
        if signal != consts::SIGHUP {
            break;
        }
        recheck_settings(matches, &vm);
    }
    log::info!(vm = &**vm; "stopping");
    running.stop();
    log::info!(vm = &**vm; "stopped");
    telemetry::flush();
    Ok(())
}

/// Reads the settings file again and logs whether the file is valid; addresses,
/// limits and plug-ins keep their values until the daemon restarts.
fn recheck_settings(matches: &clap::ArgMatches, vm: &str) {
    let read = cmd::read_file(cmd::arg_value(matches, "file"))
        .and_then(|(text, origin)| config::read_settings(&text, &origin).map_err(cmd::invalid));
    match read {
        Ok(_) => log::info!(vm; "settings read again"),
        Err(report) => log::error!(vm; "settings cannot be read again: {report}"),
    }
}
