//! Options of all commands.

use std::str::FromStr;

use getopts::{Matches, Options};

use crate::settings::{self, Settings};

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Output {
    /// Aligned text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Options that every command takes.
#[derive(Debug, Clone, Default)]
pub struct Common {
    /// Form of the output.
    pub output: Output,
    /// Address of the log.
    pub log: Option<String>,
    /// Addresses of daemons' listeners for operators.
    pub daemons: Vec<String>,
    /// File with the token for daemons.
    pub token_file: Option<String>,
    /// Author of changes.
    pub author: Option<String>,
}

/// Options of one command together with those of all.
#[derive(Debug)]
pub struct Parsed<T> {
    pub(super) common: Common,
    pub(super) options: T,
}

/// Why a command line is not carried out.
#[derive(Debug)]
pub enum Stop {
    /// Help was asked for.
    Help(String),
    /// The command line is wrong.
    Usage(String),
}

/// Author of a change when none is given.
const DEFAULT_AUTHOR: &str = "operator";

impl Common {
    /// The author that the command line or the settings name.
    pub(super) fn author(&self, matches: &Matches) -> String {
        let author = matches.opt_str("author").or_else(|| self.author.clone());
        author.unwrap_or_else(|| DEFAULT_AUTHOR.to_owned())
    }
}

/// Name, arguments and purpose of a command, for its help.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    pub(super) line: &'static str,
    pub(super) purpose: &'static str,
}

impl Usage {
    /// Fault of the command line, with a hint at the help.
    pub(super) fn fault(self, message: &str) -> Stop {
        let name = self.line.split(' ').next().unwrap_or_default();
        Stop::Usage(format!(
            "failed to parse the command line: {message}\nTry `baobabreel {name} --help`."
        ))
    }

    /// Parses the options of all commands and those of `options`.
    pub(super) fn parse(
        self,
        args: &[String],
        mut options: Options,
    ) -> Result<(Common, Matches), Stop> {
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
        let matches = options.parse(args).map_err(|e| self.fault(&e.to_string().to_lowercase()))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: baobabreel {}\n\n{}", self.line, self.purpose);
            return Err(Stop::Help(options.usage(&brief) + "\n"));
        }
        let settings = self.settings(&matches)?;
        let output = matches.opt_str("output").or(settings.output);
        let output = match output.as_deref() {
            None | Some("text") => Output::Text,
            Some("json") => Output::Json,
            Some(_) => return Err(self.fault("`--output` is not `text` or `json`")),
        };
        let daemons = matches.opt_strs("daemon");
        let common = Common {
            output,
            log: matches.opt_str("log").or(settings.log),
            daemons: if daemons.is_empty() { settings.daemons } else { daemons },
            token_file: matches.opt_str("token-file").or(settings.token_file),
            author: settings.author,
        };
        Ok((common, matches))
    }

    fn settings(self, matches: &Matches) -> Result<Settings, Stop> {
        let Some(file) = matches.opt_str("settings") else {
            return Ok(Settings::default());
        };
        let text = std::fs::read_to_string(&file)
            .map_err(|e| Stop::Usage(format!("failed to read the settings file `{file}`: {e}")))?;
        settings::parse(&file, &text).map_err(|faults| Stop::Usage(faults.join("\n")))
    }

    /// The free arguments, whose number must be that of `names`.
    pub(super) fn free<const N: usize>(
        self,
        matches: &Matches,
        names: [&str; N],
    ) -> Result<[String; N], Stop> {
        let free = matches.free.clone();
        free.try_into().map_err(|free: Vec<String>| {
            let found = free.len();
            if N == 0 {
                return self.fault(&format!("no argument is expected, found {found}"));
            }
            self.fault(&format!("expected {}, found {found} arguments", names.join(" ")))
        })
    }

    /// Parses a value of an option or argument.
    pub(super) fn value<T: FromStr>(self, name: &str, text: &str) -> Result<T, Stop>
    where
        T::Err: std::fmt::Display,
    {
        text.parse().map_err(|e: T::Err| self.fault(&format!("{name} `{text}`: {e}")))
    }
}
