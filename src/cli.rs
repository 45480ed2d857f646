//! Definition of the command line.

use clap::{Arg, ArgAction, Command, builder, value_parser};

fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help(help)
}

fn admin_arg() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:9432")
        .help("Admin address of a daemon")
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run a daemon until SIGTERM or SIGINT")
        .arg(file_arg("Settings in YAML"))
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings or a release note without using them")
        .arg(file_arg("Settings or release note in YAML"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Apply a release note through a daemon and wait until it is in force")
        .arg(file_arg("Release note in YAML"))
        .arg(admin_arg())
}

fn status() -> Command {
    Command::new("status")
        .about("Show what a daemon knows of the fleet, as JSON")
        .arg(admin_arg())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show the decisions of daemons with their causes, oldest first")
        .arg(admin_arg().action(ArgAction::Append))
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .help("Show only what led to the outcome of one request"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .action(ArgAction::Append)
                .requires("request")
                .help("Log of a daemon, in place of a running one"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON lines"),
        )
}

fn digest() -> Command {
    Command::new("digest").about("Read a key from standard input and print its digest")
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run stand-ins and three daemons on loopback, with a short load")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("End after N seconds instead of serving until interrupted"),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .value_name("P")
                .value_parser(value_parser!(u16))
                .default_value("0")
                .help("First of three ports for callers; 0 takes free ones"),
        )
}

fn bench() -> Command {
    let loads = bench::Load::ALL.iter().map(ToString::to_string);
    let loads = loads.chain(["all".to_string(), "slopes".to_string()]);
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value("10")
        .help("Length of each load");
    let losses = Arg::new("losses")
        .long("losses")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value("3")
        .help("Losses of the primary in `primary-lost`");
    Command::new("bench")
        .about("Measure a load on a whole deployment, beside the baseline")
        .arg(
            Arg::new("load")
                .value_name("LOAD")
                .required(true)
                .value_parser(builder::PossibleValuesParser::new(
                    loads.collect::<Vec<_>>(),
                ))
                .help("Load to run; `slopes` measures the costs of the capacity page"),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .default_value("mozaika")
                .value_parser(["mozaika", "cosecha"])
                .help("Whose sizes to use"),
        )
        .arg(seconds)
        .arg(losses)
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .action(ArgAction::SetTrue)
                .help("Log the daemons' decisions to standard error"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Write JSON lines"),
        )
}

/// The `ebonygauge` command with all subcommands.
pub fn command() -> Command {
    Command::new("ebonygauge")
        .about("Database proxy with session consistency")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            serve(),
            check(),
            apply(),
            status(),
            explain(),
            digest(),
            demo(),
            bench(),
        ])
}
