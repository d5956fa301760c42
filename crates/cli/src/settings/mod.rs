//! Settings file: defaults of command-line options, as JSON with comments.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Defaults from a settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Format of the output, `text` or `json`.
    pub output: Option<String>,
    /// URL of the log.
    pub log: Option<String>,
    /// URLs of the operator listeners of daemons.
    pub daemons: Vec<String>,
    /// Path of the file with the access token for daemons.
    pub token_file: Option<String>,
    /// Default author of changes.
    pub author: Option<String>,
}

/// Parses the text of a settings file; `file` is its name in error messages.
///
/// # Errors
///
/// One message for each error, with file, line, key, value and the allowed values. Unknown keys are
/// errors.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<String>> {
    let mut reader =
        SettingsReader { file, text, errors: Vec::new(), settings: Settings::default() };
    match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
        Ok(parsed) => match parsed.value {
            Some(Value::Object(object)) => reader.read(object),
            _ => reader.error(0, "the file does not hold a JSON object; allowed: one object"),
        },
        Err(e) => reader.error(e.range().start, &format!("not JSON with comments: {}", e.kind())),
    }
    if reader.errors.is_empty() { Ok(reader.settings) } else { Err(reader.errors) }
}

/// Collects the settings and all errors, so that one run reports every error.
struct SettingsReader<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<String>,
    settings: Settings,
}

impl SettingsReader<'_> {
    /// Adds an error at a byte position of the file.
    fn error(&mut self, position: usize, message: &str) {
        let preceding_text = &self.text[..position.min(self.text.len())];
        let line = preceding_text.matches('\n').count() + 1;
        self.errors.push(format!("{}:{line}: {message}", self.file));
    }

    fn invalid_value(&mut self, prop: &ObjectProp<'_>, allowed: &str) {
        let range = prop.value.range();
        let (key, value) = (prop.name.as_str(), &self.text[range.start..range.end]);
        let message = format!("`{key}` is {value}; allowed: {allowed}");
        self.error(range.start, &message);
    }

    fn read(&mut self, object: Object<'_>) {
        for prop in &object.properties {
            match prop.name.as_str() {
                "output" => self.settings.output = self.output(prop),
                "log" => self.settings.log = self.non_empty_string(prop),
                "daemons" => self.settings.daemons = self.strings(prop),
                "token_file" => self.settings.token_file = self.non_empty_string(prop),
                "author" => self.settings.author = self.non_empty_string(prop),
                key => {
                    let allowed = "output, log, daemons, token_file, author";
                    let message = format!("`{key}` is unknown; allowed: {allowed}");
                    self.error(prop.range.start, &message);
                }
            }
        }
    }

    fn output(&mut self, prop: &ObjectProp<'_>) -> Option<String> {
        match &prop.value {
            Value::StringLit(text) if matches!(&*text.value, "text" | "json") => {
                Some(text.value.to_string())
            }
            _ => {
                self.invalid_value(prop, "\"text\" or \"json\"");
                None
            }
        }
    }

    fn non_empty_string(&mut self, prop: &ObjectProp<'_>) -> Option<String> {
        match &prop.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            _ => {
                self.invalid_value(prop, "a non-empty string");
                None
            }
        }
    }

    fn strings(&mut self, prop: &ObjectProp<'_>) -> Vec<String> {
        let items = match &prop.value {
            Value::Array(array) => array.elements.iter(),
            _ => [].iter(),
        };
        let texts: Vec<String> = items
            .filter_map(|item| match item {
                Value::StringLit(text) => Some(text.value.to_string()),
                _ => None,
            })
            .collect();
        let all_strings = matches!(&prop.value, Value::Array(a) if a.elements.len() == texts.len());
        if !all_strings {
            self.invalid_value(prop, "a list of strings");
        }
        texts
    }
}
