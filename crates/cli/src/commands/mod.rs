//! Commands: each parses its arguments into an options struct and calls one operation.

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

pub use common::{CommonOptions, OutputFormat};

use common::{ParseError, ParsedCommand};
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

/// Output and exit code of a command.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub code: u8,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Makes the output for an error before any command runs.
    #[must_use]
    pub fn startup_failure(message: &str) -> Self {
        Self { code: Exit::Unreachable as u8, stderr: format!("{message}\n"), ..Self::default() }
    }

    /// Makes the output for an invalid command line or settings file.
    fn usage_error(message: &str) -> Self {
        Self { code: Exit::Usage as u8, stderr: format!("{message}\n"), ..Self::default() }
    }

    /// Makes the output for a request for help.
    fn help(text: String) -> Self {
        Self { stdout: text, ..Self::default() }
    }

    /// Formats the result of an operation.
    fn from_result(output: OutputFormat, result: Result<Outcome, Failure>) -> Self {
        match (result, output) {
            (Ok(outcome), OutputFormat::Text) => {
                Self { code: outcome.exit as u8, stdout: outcome.text, stderr: String::new() }
            }
            (Ok(outcome), OutputFormat::Json) => Self {
                code: outcome.exit as u8,
                stdout: format!("{}\n", outcome.json),
                stderr: String::new(),
            },
            (Err(failure), OutputFormat::Text) => Self {
                code: failure.exit as u8,
                stdout: String::new(),
                stderr: format!("{:#}\n", failure.report),
            },
            (Err(failure), OutputFormat::Json) => Self {
                code: failure.exit as u8,
                stdout: String::new(),
                stderr: format!("{}\n", json!({"error": format!("{:#}", failure.report)})),
            },
        }
    }
}

/// Runs a command line, given without the program name.
///
/// `connect` makes the context for the addresses in the common options.
pub async fn run<L: Log, D: Daemon>(
    args: &[String],
    connect: impl Fn(&CommonOptions) -> Result<Context<L, D>, Report>,
) -> CommandOutput {
    let Some((name, args)) = args.split_first() else {
        return CommandOutput::usage_error(HELP.trim_end());
    };
    macro_rules! command {
        ($module:ident) => {
            match $module::parse(args) {
                Ok(ParsedCommand { common, options }) => match connect(&common) {
                    Ok(cx) => {
                        let result = crate::ops::$module(&cx, &options).await;
                        CommandOutput::from_result(common.output, result)
                    }
                    Err(e) => CommandOutput::usage_error(&format!("{e:#}")),
                },
                Err(ParseError::Help(text)) => CommandOutput::help(text),
                Err(ParseError::Usage(text)) => CommandOutput::usage_error(&text),
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
        "help" | "--help" | "-h" => CommandOutput::help(HELP.to_owned()),
        other => CommandOutput::usage_error(&format!(
            "failed to parse the command line: command `{other}` does not exist\n\n{}",
            HELP.trim_end()
        )),
    }
}
