//! Options that all commands share.

use std::str::FromStr;

use getopts::{Matches, Options};

use crate::settings::{self, Settings};

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// Aligned text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Options that every command takes.
#[derive(Debug, Clone, Default)]
pub struct CommonOptions {
    /// Format of the output.
    pub output: OutputFormat,
    /// URL of the log.
    pub log: Option<String>,
    /// URLs of the operator listeners of daemons.
    pub daemons: Vec<String>,
    /// Path of the file with the access token for daemons.
    pub token_file: Option<String>,
    /// Default author of changes, from the settings.
    pub author: Option<String>,
}

/// Parsed options of one command together with the common ones.
#[derive(Debug)]
pub struct ParsedCommand<T> {
    pub(super) common: CommonOptions,
    pub(super) options: T,
}

/// Reason that parsing ends without a command to run.
#[derive(Debug)]
pub enum ParseError {
    /// Help was requested; holds the help text.
    Help(String),
    /// The command line or the settings file is invalid; holds the message.
    Usage(String),
}

/// Author of a change if neither the command line nor the settings name one.
const DEFAULT_AUTHOR: &str = "operator";

impl CommonOptions {
    /// Returns the author from the command line, the settings or the default, in this order.
    pub(super) fn author(&self, matches: &Matches) -> String {
        let author = matches.opt_str("author").or_else(|| self.author.clone());
        author.unwrap_or_else(|| DEFAULT_AUTHOR.to_owned())
    }
}

/// Syntax and summary of a command, for its help.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    pub(super) syntax: &'static str,
    pub(super) summary: &'static str,
}

impl Usage {
    /// Returns a usage error that points to the help of the command.
    pub(super) fn error(self, message: &str) -> ParseError {
        let name = self.syntax.split(' ').next().unwrap_or_default();
        ParseError::Usage(format!(
            "failed to parse the command line: {message}\nTry `baobabreel {name} --help`."
        ))
    }

    /// Parses the common options and those in `options`.
    pub(super) fn parse(
        self,
        args: &[String],
        mut options: Options,
    ) -> Result<(CommonOptions, Matches), ParseError> {
        options
            .optopt("", "output", "form of the output (default text)", "text|json")
            .optopt("", "log", "address of the log", "URL")
            .optmulti(
                "",
                "daemon",
                "address of a daemon's listener for operators; repeatable",
                "URL",
            )
            .optopt("", "token-file", "file with the token for daemons", "FILE")
            .optopt("", "settings", "file with defaults, JSON with comments", "FILE")
            .optflag("h", "help", "show this help");
        let matches = options.parse(args).map_err(|e| self.error(&e.to_string().to_lowercase()))?;
        if matches.opt_present("help") {
            let header = format!("Usage: baobabreel {}\n\n{}", self.syntax, self.summary);
            return Err(ParseError::Help(options.usage(&header) + "\n"));
        }
        let settings = self.read_settings(&matches)?;
        let output = matches.opt_str("output").or(settings.output);
        let output = match output.as_deref() {
            None | Some("text") => OutputFormat::Text,
            Some("json") => OutputFormat::Json,
            Some(_) => return Err(self.error("`--output` is not `text` or `json`")),
        };
        let daemons = matches.opt_strs("daemon");
        let common = CommonOptions {
            output,
            log: matches.opt_str("log").or(settings.log),
            daemons: if daemons.is_empty() { settings.daemons } else { daemons },
            token_file: matches.opt_str("token-file").or(settings.token_file),
            author: settings.author,
        };
        Ok((common, matches))
    }

    fn read_settings(self, matches: &Matches) -> Result<Settings, ParseError> {
        let Some(file) = matches.opt_str("settings") else {
            return Ok(Settings::default());
        };
        let text = std::fs::read_to_string(&file).map_err(|e| {
            ParseError::Usage(format!("failed to read the settings file `{file}`: {e}"))
        })?;
        settings::parse(&file, &text).map_err(|errors| ParseError::Usage(errors.join("\n")))
    }

    /// Returns the positional arguments, one for each of `names`.
    pub(super) fn positional<const N: usize>(
        self,
        matches: &Matches,
        names: [&str; N],
    ) -> Result<[String; N], ParseError> {
        let free = matches.free.clone();
        free.try_into().map_err(|free: Vec<String>| {
            let found = free.len();
            if N == 0 {
                return self.error(&format!("no argument is expected, found {found}"));
            }
            self.error(&format!("expected {}, found {found} arguments", names.join(" ")))
        })
    }

    /// Parses the value of an option or argument; `name` is for the error message.
    pub(super) fn parse_value<T: FromStr>(self, name: &str, text: &str) -> Result<T, ParseError>
    where
        T::Err: std::fmt::Display,
    {
        text.parse().map_err(|e: T::Err| self.error(&format!("{name} `{text}`: {e}")))
    }
}
