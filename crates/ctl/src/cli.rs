//! The definition of the command line: its commands, options and arguments.

use clap::{Arg, ArgAction, Command};

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    option(name, help).action(ArgAction::SetTrue)
}

/// Builds the definition of the command line.
pub fn command() -> Command {
    let reason = || option("reason", "Why; every member can read it").required(true);
    let scope = || option("scope", "engine, organisation, model or zone").required(true);
    let list = || Command::new("list").about("List them");
    let defaults = Command::new("default")
        .about("Fleet-wide defaults")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("set")
                .about("Set a default")
                .arg(positional("parameter", "The parameter"))
                .arg(positional("value", "The value")),
        ]);
    let exceptions = Command::new("exception")
        .about("Exceptions from the defaults, each with a reason")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("set")
                .about("Set an exception")
                .arg(scope())
                .arg(option("name", "The name in the scope").required(true))
                .arg(reason())
                .arg(positional("parameter", "The parameter"))
                .arg(positional("value", "The value")),
            Command::new("remove")
                .about("Remove an exception")
                .arg(scope())
                .arg(option("name", "The name in the scope").required(true))
                .arg(positional("parameter", "The parameter")),
        ]);
    let zones = Command::new("zone")
        .about("Availability zones")
        .subcommand_required(true)
        .subcommands([
            Command::new("out")
                .about("Take a zone out: no new work within seconds")
                .arg(positional("name", "The zone"))
                .arg(reason()),
            Command::new("in")
                .about("Bring a zone back")
                .arg(positional("name", "The zone")),
        ]);
    let stops = Command::new("stop")
        .about("Planned stops of targets, routers and zones")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("begin")
                .about("Begin a planned stop")
                .arg(positional("kind", "target, router or zone"))
                .arg(positional("name", "Its name"))
                .arg(reason()),
            Command::new("end")
                .about("End a planned stop")
                .arg(positional("kind", "target, router or zone"))
                .arg(positional("name", "Its name")),
        ]);
    let duties = Command::new("duty")
        .about("What engines are ordered to serve")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("set")
                .about("Order an engine to take up a duty")
                .arg(positional("name", "The engine"))
                .arg(option("model", "The model").required(true))
                .arg(option("weights", "The version of its weights").required(true))
                .arg(option("adapter", "An adapter").action(ArgAction::Append))
                .arg(option("role", "The role")),
            Command::new("remove")
                .about("Order nothing of an engine any more")
                .arg(positional("name", "The engine")),
        ]);
    let organisations = Command::new("organisation")
        .about("Organisations and their keys")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("set")
                .about("Create or replace an organisation")
                .arg(positional("name", "The organisation"))
                .arg(option("member", "The member whose customer it is").required(true))
                .arg(option("weight", "Its weight").default_value("1"))
                .arg(
                    option("key", "A bearer key; only its digest is sent")
                        .action(ArgAction::Append),
                ),
            Command::new("remove")
                .about("Remove an organisation")
                .arg(positional("name", "The organisation")),
        ]);
    let operators = Command::new("operator")
        .about("Operators and their tokens")
        .subcommand_required(true)
        .subcommands([
            list(),
            Command::new("set")
                .about("Create or replace an operator")
                .arg(positional("name", "The operator"))
                .arg(option(
                    "member",
                    "The member; none for the consortium's own",
                ))
                .arg(option("operator-token", "The token; only its digest is sent").required(true)),
            Command::new("remove")
                .about("Remove an operator")
                .arg(positional("name", "The operator")),
        ]);
    Command::new("sardinemux-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Steers the fleet through its administration API")
        .subcommand_required(true)
        .arg(
            option(
                "admin",
                "The address of the administration API, as ip:port; needed by all commands but check",
            )
            .global(false),
        )
        .arg(option("token", "The operator's token; needed by all commands but check"))
        .arg(flag("json", "Print JSON").global(true))
        .arg(flag("dry-run", "Check only, and change nothing").global(true))
        .arg(option("id", "The id of the change, to submit it again").global(true))
        .arg(
            option("expect", "KEY=VERSION: refuse if the key was changed since")
                .action(ArgAction::Append)
                .global(true),
        )
        .arg(option("wait", "Wait this many seconds until it is in force").global(true))
        .subcommands([
            defaults,
            exceptions,
            zones,
            stops,
            duties,
            organisations,
            operators,
        ])
        .subcommands([
            Command::new("apply")
                .about("Submit a JSON list of changes, which take effect together")
                .arg(positional("file", "The file")),
            Command::new("check")
                .about("Check a desired state before it is sent, and compare it with the one in force")
                .arg(positional("file", "The desired state, as JSON"))
                .arg(option("against", "A file with the desired state in force").conflicts_with("store"))
                .arg(option("store", "The address of the store with the desired state in force"))
                .arg(option("retry-extra", "The largest balance of the retry budget")),
            Command::new("change")
                .about("Say what became of a change")
                .arg(positional("id-of-change", "The id"))
                .arg(option("attempted", "The version that it was written as")),
            Command::new("history")
                .about("List accepted changes")
                .arg(option("after", "Only after this version").default_value("0")),
            Command::new("diff")
                .about("List what changed between two versions")
                .arg(positional("from", "The earlier version"))
                .arg(positional("to", "The later version")),
            Command::new("force").about("Say which version each router has in force"),
            Command::new("load").about("Say what still runs on each target"),
        ])
}
