//! Reader of the settings file that collects all faults.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use baobabreel_core::config::{Kind, MAX_SCHEMA, RecordKey};
use baobabreel_core::idempotency::MAX_ISSUER_BYTES;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use tracing_subscriber::EnvFilter;

use super::{ConfigSource, Limits, Listen, Policy, RetrySettings, Settings};
use crate::dialect::Dialect;

/// Mark that some editors put before a text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line of the value, from 1.
    pub line: usize,
    /// Key with its path, for example `listen.callers`; empty for the whole file.
    pub key: String,
    /// Value as it stands in the file.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// Faults in the order of their lines.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}: ", self.file, fault.line)?;
            if !fault.key.is_empty() {
                write!(f, "`{}` ", fault.key)?;
            }
            write!(f, "is {}; allowed: {}", fault.value, fault.allowed)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads and checks the text of a settings file.
///
/// # Errors
///
/// All [`Faults`] of the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader { text, faults: Vec::new() };
    if text.starts_with(BYTE_ORDER_MARK) {
        reader.fault(1, "", "a file that begins with a byte order mark", "UTF-8 without one");
    }
    let settings = reader.settings();
    if reader.faults.is_empty()
        && let Some(settings) = settings
    {
        return Ok(settings);
    }
    reader.faults.sort_by_key(|fault| fault.line);
    Err(Faults { file: file.to_owned(), faults: reader.faults })
}

/// Keys of one object that were not read yet.
struct Section<'a> {
    path: String,
    line: usize,
    left: Vec<ObjectProp<'a>>,
    /// Keys that were asked for, present or not.
    known: Vec<String>,
}

impl<'a> Section<'a> {
    /// Whether a key is present; it is a known one from now on.
    fn has(&mut self, key: &str) -> bool {
        if !self.known.iter().any(|known| known == key) {
            self.known.push(key.to_owned());
        }
        self.left.iter().any(|prop| prop.name.as_str() == key)
    }
}

struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    fn settings(&mut self) -> Option<Settings> {
        let text = self.text.trim_start_matches(BYTE_ORDER_MARK);
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let root = match parsed {
            Ok(result) => result.value,
            Err(e) => {
                let line = self.line_at(e.range().start);
                self.fault(line, "", "not JSON with comments", &e.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(root)) = root else {
            self.fault(1, "", "not an object", "one object");
            return None;
        };
        let mut top = self.section("", root);
        let settings = self.read_all(&mut top);
        self.finish(top);
        settings
    }

    fn read_all(&mut self, top: &mut Section<'a>) -> Option<Settings> {
        let daemon = self.daemon_id(top);
        let data_centre = self.name(top, "data_centre");
        let log = self.url(top, "log");
        let listen = self.listen(top);
        let advertise_peers = self.optional_address(top, "advertise_peers");
        let seeds = self.addresses(top, "seeds");
        let token = self.text(top, "token", "a text of visible ASCII characters", |text| {
            text.bytes().all(|b| b.is_ascii_graphic())
        });
        let limits = self.limits(top);
        let drain_limit = self.millis(top, "drain_limit_ms", 30_000, 0..=600_000);
        let drain_notice = self.millis(top, "drain_notice_ms", 1_000, 0..=60_000);
        let log_retention = self.millis(top, "log_retention_ms", DAY_MS, 60_000..=366 * DAY_MS);
        let threads = self.integer(top, "threads", 1, 1..=64);
        let policy = self.policy(top);
        let max_schema =
            self.integer(top, "max_schema", u64::from(MAX_SCHEMA), 1..=u64::from(MAX_SCHEMA));
        let trace_share = self.share(top, "trace_share", 0.0);
        let log_filter = self
            .text(top, "log_filter", "a filter like info,baobabreel_daemon=debug", |text| {
                EnvFilter::try_new(text).is_ok()
            })
            .unwrap_or_else(|| "info".to_owned());
        Some(Settings {
            daemon: daemon?,
            data_centre: data_centre?,
            source: ConfigSource::Log { url: log?, retention: log_retention },
            dialect: Dialect::default(),
            backend: None,
            listen: listen?,
            advertise_peers,
            seeds,
            token,
            limits: limits?,
            drain_limit,
            drain_notice,
            host_notice: drain_notice,
            threads: usize::try_from(threads).ok()?,
            policy,
            retry: RetrySettings::default(),
            max_schema: u32::try_from(max_schema).ok()?,
            trace_share,
            log_filter,
        })
    }

    fn listen(&mut self, top: &mut Section<'a>) -> Option<Listen> {
        let mut section = self.required_section(top, "listen")?;
        let callers = self.address(&mut section, "callers");
        let peers = self.address(&mut section, "peers");
        let backend = self.address(&mut section, "backend");
        let operators = self.address(&mut section, "operators");
        let line = section.line;
        self.finish(section);
        let found = [
            ("callers", callers),
            ("peers", peers),
            ("backend", backend),
            ("operators", operators),
        ];
        self.check_apart(line, &found);
        Some(Listen { callers: callers?, peers: peers?, backend: backend?, operators: operators? })
    }

    /// Two listeners cannot have one address, unless its port is any free one.
    fn check_apart(&mut self, line: usize, listeners: &[(&str, Option<SocketAddr>)]) {
        for (at, (name, addr)) in listeners.iter().enumerate() {
            let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
            let same = listeners[..at].iter().find(|(_, earlier)| *earlier == Some(addr));
            if let Some((earlier, _)) = same {
                let value = format!("{addr}, as `listen.{earlier}` is");
                self.fault(line, &format!("listen.{name}"), &value, "an address of its own");
            }
        }
    }

    fn limits(&mut self, top: &mut Section<'a>) -> Option<Limits> {
        let mut section = match self.take(top, "limits") {
            None => Section {
                path: "limits".to_owned(),
                line: top.line,
                left: Vec::new(),
                known: Vec::new(),
            },
            Some(ObjectProp { value: Value::Object(object), .. }) => self.section("limits", object),
            Some(prop) => {
                self.bad_value(top, &prop, "an object");
                return None;
            }
        };
        let body_bytes = self.integer(&mut section, "body_bytes", 64 << 20, 1..=1 << 30);
        let header_bytes = self.integer(&mut section, "header_bytes", 16 << 10, 8192..=1 << 20);
        let callers = self.integer(&mut section, "caller_connections", 4_096, 1..=65_536);
        let peers = self.integer(&mut section, "peer_connections", 8_192, 1..=65_536);
        let backend = self.integer(&mut section, "backend_connections", 100, 1..=65_536);
        self.finish(section);
        Some(Limits {
            body_bytes,
            header_bytes: usize::try_from(header_bytes).ok()?,
            caller_connections: usize::try_from(callers).ok()?,
            peer_connections: usize::try_from(peers).ok()?,
            backend_connections: usize::try_from(backend).ok()?,
        })
    }

    fn section(&mut self, path: &str, object: Object<'a>) -> Section<'a> {
        let line = self.line_at(object.range.start);
        Section { path: path.to_owned(), line, left: object.properties, known: Vec::new() }
    }

    fn required_section(&mut self, top: &mut Section<'a>, key: &str) -> Option<Section<'a>> {
        match self.take(top, key) {
            Some(ObjectProp { value: Value::Object(object), .. }) => {
                Some(self.section(key, object))
            }
            Some(prop) => {
                self.bad_value(top, &prop, "an object");
                None
            }
            None => {
                self.missing(top, key, "an object");
                None
            }
        }
    }

    /// Takes a key out of a section; a repeated key is a fault.
    fn take(&mut self, section: &mut Section<'a>, key: &str) -> Option<ObjectProp<'a>> {
        section.has(key);
        let mut found = None;
        let mut i = 0;
        while i < section.left.len() {
            if section.left[i].name.as_str() != key {
                i += 1;
                continue;
            }
            let prop = section.left.remove(i);
            if found.is_some() {
                let line = self.line_at(prop.range.start);
                self.fault(line, &join(&section.path, key), "given twice", "each key once");
            } else {
                found = Some(prop);
            }
        }
        found
    }

    /// Reports the keys that nobody read.
    fn finish(&mut self, section: Section<'a>) {
        let allowed = section.known.join(", ");
        for prop in section.left {
            let line = self.line_at(prop.range.start);
            let key = join(&section.path, prop.name.as_str());
            self.fault(line, &key, "an unknown key", &allowed);
        }
    }

    fn string(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
    ) -> Option<(String, ObjectProp<'a>)> {
        let prop = self.take(section, key)?;
        if let Value::StringLit(text) = &prop.value {
            return Some((text.value.to_string(), prop));
        }
        self.bad_value(section, &prop, allowed);
        None
    }

    fn parsed<T: FromStr>(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
        accept: impl Fn(&T) -> bool,
    ) -> Option<T> {
        if !section.has(key) {
            self.missing(section, key, allowed);
            return None;
        }
        let (text, prop) = self.string(section, key, allowed)?;
        match text.parse() {
            Ok(value) if accept(&value) => Some(value),
            _ => {
                self.bad_value(section, &prop, allowed);
                None
            }
        }
    }

    /// Reads the id of the daemon, which has to fit into the keys that it issues.
    fn daemon_id(&mut self, section: &mut Section<'a>) -> Option<String> {
        let allowed = format!(
            "1 to {MAX_ISSUER_BYTES} characters of a-z 0-9 . _ -, the first a letter or digit"
        );
        self.parsed(section, "daemon", &allowed, |id: &String| {
            id.len() <= MAX_ISSUER_BYTES
                && RecordKey::new(Kind::BackendServer, id.clone()).is_valid()
        })
    }

    fn name(&mut self, section: &mut Section<'a>, key: &str) -> Option<String> {
        let allowed = "1 to 128 characters of a-z 0-9 . _ -, the first a letter or digit";
        let accept = |name: &String| RecordKey::new(Kind::BackendServer, name.clone()).is_valid();
        self.parsed(section, key, allowed, accept)
    }

    fn url(&mut self, section: &mut Section<'a>, key: &str) -> Option<String> {
        self.parsed(section, key, "an address like http://10.0.0.1:7000", |text: &String| {
            text.strip_prefix("http://")
                .is_some_and(|rest| rest.trim_end_matches('/').parse::<SocketAddr>().is_ok())
        })
    }

    fn address(&mut self, section: &mut Section<'a>, key: &str) -> Option<SocketAddr> {
        self.parsed(section, key, ADDRESS, |_: &SocketAddr| true)
    }

    fn optional_address(&mut self, section: &mut Section<'a>, key: &str) -> Option<SocketAddr> {
        if section.has(key) { self.address(section, key) } else { None }
    }

    fn addresses(&mut self, section: &mut Section<'a>, key: &str) -> Vec<SocketAddr> {
        let allowed = "a list of addresses like 10.0.0.1:7101";
        let Some(prop) = self.take(section, key) else {
            return Vec::new();
        };
        let Value::Array(array) = &prop.value else {
            self.bad_value(section, &prop, allowed);
            return Vec::new();
        };
        let mut found = Vec::new();
        for element in &array.elements {
            let parsed = element.as_string_lit().and_then(|text| text.value.parse().ok());
            match parsed {
                Some(addr) => found.push(addr),
                None => {
                    let range = element.range();
                    let value = self.text[range.start..range.end].to_owned();
                    let line = self.line_at(range.start);
                    self.fault(line, &join(&section.path, key), &value, ADDRESS);
                }
            }
        }
        found
    }

    fn text(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
        accept: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let (text, prop) = self.string(section, key, allowed)?;
        if text.is_empty() || !accept(&text) {
            self.bad_value(section, &prop, allowed);
            return None;
        }
        Some(text)
    }

    fn integer(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(prop) = self.take(section, key) else {
            return default;
        };
        let value = prop.value.as_number_lit().and_then(|number| number.value.parse().ok());
        if let Some(value) = value.filter(|value| range.contains(value)) {
            return value;
        }
        let allowed = format!("an integer from {} to {}", range.start(), range.end());
        self.bad_value(section, &prop, &allowed);
        default
    }

    fn millis(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.integer(section, key, default, range))
    }

    fn share(&mut self, section: &mut Section<'a>, key: &str, default: f64) -> f64 {
        let Some(prop) = self.take(section, key) else {
            return default;
        };
        let value = prop.value.as_number_lit().and_then(|number| number.value.parse().ok());
        if let Some(value) = value.filter(|value| (0.0..=1.0).contains(value)) {
            return value;
        }
        self.bad_value(section, &prop, "a number from 0 to 1");
        default
    }

    fn policy(&mut self, top: &mut Section<'a>) -> Policy {
        let allowed = "`full`, or `plain` for measurements";
        match self.string(top, "policy", allowed) {
            None => Policy::Full,
            Some((text, _)) if text == "full" => Policy::Full,
            Some((text, _)) if text == "plain" => Policy::Plain,
            Some((_, prop)) => {
                self.bad_value(top, &prop, allowed);
                Policy::Full
            }
        }
    }

    fn missing(&mut self, section: &Section<'a>, key: &str, allowed: &str) {
        let (line, key) = (section.line, join(&section.path, key));
        self.fault(line, &key, "missing", allowed);
    }

    fn bad_value(&mut self, section: &Section<'a>, prop: &ObjectProp<'a>, allowed: &str) {
        let range = prop.value.range();
        let value = self.text[range.start..range.end].to_owned();
        let line = self.line_at(range.start);
        let key = join(&section.path, prop.name.as_str());
        self.fault(line, &key, &value, allowed);
    }

    fn fault(&mut self, line: usize, key: &str, value: &str, allowed: &str) {
        self.faults.push(Fault {
            line,
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    fn line_at(&self, position: usize) -> usize {
        self.text[..position.min(self.text.len())].matches('\n').count() + 1
    }
}

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

const ADDRESS: &str = "an address like 10.0.0.1:7101";

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
