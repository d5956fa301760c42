//! Commands: each parses its arguments into one options struct and calls one operation.

pub mod check;
mod common;
pub mod diff;
pub mod explain;
pub mod get;
pub mod history;
pub mod members;
pub mod publish;
pub mod raise_level;
pub mod status;

pub use common::{Common, Output};

use common::{Parsed, Stop};
use eyre::Report;
use serde_json::json;

use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, Outcome};

const HELP: &str = "\
Usage: baobabreel COMMAND [OPTIONS]

Commands:
    check FILE              judge a file of changes without publishing it
    publish FILE            publish a file of changes
    status                  show where each record stands
    get KEY                 show a record
    history [KEY]           list changes with their verdicts
    diff FILE               show what a file would change
    diff VERSION VERSION    show what changed between two versions
    members                 list the members of the mesh
    explain --path PATH     show where a request would go
    raise-level N           make schema version N part of the verdict

`baobabreel COMMAND --help` lists the options of a command.

Exit codes: 0 done, 1 rejected or invalid, 2 usage error, 3 unreachable,
4 timed out while waiting, 5 unknown outcome.
";

/// What a command prints, and its exit code.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Printed {
    /// Exit code.
    pub code: u8,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

impl Printed {
    /// A command that could not start.
    #[must_use]
    pub fn failed(message: &str) -> Self {
        Self { code: Exit::Unreachable as u8, stderr: format!("{message}\n"), ..Self::default() }
    }

    fn usage(message: &str) -> Self {
        Self { code: Exit::Usage as u8, stderr: format!("{message}\n"), ..Self::default() }
    }

    fn help(text: String) -> Self {
        Self { stdout: text, ..Self::default() }
    }

    fn result(output: Output, result: Result<Outcome, Failure>) -> Self {
        match (result, output) {
            (Ok(outcome), Output::Text) => {
                Self { code: outcome.exit as u8, stdout: outcome.text, stderr: String::new() }
            }
            (Ok(outcome), Output::Json) => Self {
                code: outcome.exit as u8,
                stdout: format!("{}\n", outcome.json),
                stderr: String::new(),
            },
            (Err(failure), Output::Text) => Self {
                code: failure.exit as u8,
                stdout: String::new(),
                stderr: format!("{:#}\n", failure.report),
            },
            (Err(failure), Output::Json) => Self {
                code: failure.exit as u8,
                stdout: String::new(),
                stderr: format!("{}\n", json!({"error": format!("{:#}", failure.report)})),
            },
        }
    }
}

/// Carries out a command line; `connect` makes the context of the addresses that it names.
pub async fn run<L: Log, D: Daemon>(
    args: &[String],
    connect: impl Fn(&Common) -> Result<Context<L, D>, Report>,
) -> Printed {
    let Some((name, args)) = args.split_first() else {
        return Printed::usage(HELP.trim_end());
    };
    macro_rules! command {
        ($module:ident) => {
            match $module::parse(args) {
                Ok(Parsed { common, options }) => match connect(&common) {
                    Ok(cx) => {
                        let result = crate::ops::$module(&cx, &options).await;
                        Printed::result(common.output, result)
                    }
                    Err(e) => Printed::usage(&format!("{e:#}")),
                },
                Err(Stop::Help(text)) => Printed::help(text),
                Err(Stop::Usage(text)) => Printed::usage(&text),
            }
        };
    }
    match name.as_str() {
        "check" => command!(check),
        "publish" => command!(publish),
        "status" => command!(status),
        "get" => command!(get),
        "history" => command!(history),
        "diff" => command!(diff),
        "members" => command!(members),
        "explain" => command!(explain),
        "raise-level" => command!(raise_level),
        "help" | "--help" | "-h" => Printed::help(HELP.to_owned()),
        other => Printed::usage(&format!(
            "failed to parse the command line: command `{other}` does not exist\n\n{}",
            HELP.trim_end()
        )),
    }
}
