//! Defaults of options, from a file of JSON with comments.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Defaults that a file gives.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Form of the output, `text` or `json`.
    pub output: Option<String>,
    /// Address of the log.
    pub log: Option<String>,
    /// Addresses of daemons' listeners for operators.
    pub daemons: Vec<String>,
    /// File with the token for daemons.
    pub token_file: Option<String>,
    /// Author of changes.
    pub author: Option<String>,
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Every fault with file, line, key, value and what is allowed; unknown keys are faults.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<String>> {
    let mut reader = Reader { file, text, faults: Vec::new(), settings: Settings::default() };
    match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
        Ok(parsed) => match parsed.value {
            Some(Value::Object(object)) => reader.read(object),
            _ => reader.fault(0, "the file is not an object; allowed: one object"),
        },
        Err(e) => reader.fault(e.range().start, &format!("not JSON with comments: {}", e.kind())),
    }
    if reader.faults.is_empty() { Ok(reader.settings) } else { Err(reader.faults) }
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<String>,
    settings: Settings,
}

impl Reader<'_> {
    fn fault(&mut self, position: usize, message: &str) {
        let before = &self.text[..position.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        self.faults.push(format!("{}:{line}: {message}", self.file));
    }

    fn bad_value(&mut self, prop: &ObjectProp<'_>, allowed: &str) {
        let range = prop.value.range();
        let (key, value) = (prop.name.as_str(), &self.text[range.start..range.end]);
        let message = format!("`{key}` is {value}; allowed: {allowed}");
        self.fault(range.start, &message);
    }

    fn read(&mut self, object: Object<'_>) {
        for prop in &object.properties {
            match prop.name.as_str() {
                "output" => self.settings.output = self.output(prop),
                "log" => self.settings.log = self.string(prop),
                "daemons" => self.settings.daemons = self.strings(prop),
                "token_file" => self.settings.token_file = self.string(prop),
                "author" => self.settings.author = self.string(prop),
                key => {
                    let allowed = "output, log, daemons, token_file, author";
                    let message = format!("`{key}` is unknown; allowed: {allowed}");
                    self.fault(prop.range.start, &message);
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
                self.bad_value(prop, "\"text\" or \"json\"");
                None
            }
        }
    }

    fn string(&mut self, prop: &ObjectProp<'_>) -> Option<String> {
        match &prop.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            _ => {
                self.bad_value(prop, "a text that is not empty");
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
        let whole = matches!(&prop.value, Value::Array(a) if a.elements.len() == texts.len());
        if !whole {
            self.bad_value(prop, "a list of texts");
        }
        texts
    }
}
