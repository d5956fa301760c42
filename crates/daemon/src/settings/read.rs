//! Parser for the settings file that collects all errors instead of stopping at the first one.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use baobabreel_core::config::{Kind, MAX_SCHEMA, RecordKey};
use baobabreel_core::drain::CLOSE_TIMEOUT;
use baobabreel_core::idempotency::MAX_ISSUER_BYTES;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use tracing_subscriber::EnvFilter;

use super::{ConfigSource, Limits, Listen, Policy, RetrySettings, Settings};
use crate::dialect::Dialect;

/// Byte order mark, which some editors put at the start of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Line of the value, counted from 1.
    pub line: usize,
    /// Path of the key, for example `listen.callers`; empty for the whole file.
    pub key: String,
    /// Value as written in the file, or a description of the error.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    /// Name of the file.
    pub file: String,
    /// Errors in the order of their lines.
    pub errors: Vec<InvalidSetting>,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, invalid) in self.errors.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}: ", self.file, invalid.line)?;
            if !invalid.key.is_empty() {
                write!(f, "`{}` ", invalid.key)?;
            }
            write!(f, "is {}; allowed: {}", invalid.value, invalid.allowed)?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidSettings {}

/// Parses and validates the text of a settings file; `file` is the file name for error messages.
///
/// # Errors
///
/// All errors in the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, InvalidSettings> {
    let mut reader = SettingsReader { text, errors: Vec::new() };
    if text.starts_with(BYTE_ORDER_MARK) {
        reader.report(1, "", "a file that begins with a byte order mark", "UTF-8 without one");
    }
    let settings = reader.settings();
    if reader.errors.is_empty()
        && let Some(settings) = settings
    {
        return Ok(settings);
    }
    reader.errors.sort_by_key(|invalid| invalid.line);
    Err(InvalidSettings { file: file.to_owned(), errors: reader.errors })
}

/// One object of the settings file while its keys are read.
struct Section<'a> {
    /// Path of the object; empty for the root.
    path: String,
    /// Line at which the object starts, counted from 1.
    line: usize,
    /// Properties that have not been read yet.
    unread: Vec<ObjectProp<'a>>,
    /// Keys that the parser knows, present or not.
    known: Vec<String>,
}

impl<'a> Section<'a> {
    /// Returns whether an unread key is present, and adds it to the known keys.
    fn has(&mut self, key: &str) -> bool {
        if !self.known.iter().any(|known| known == key) {
            self.known.push(key.to_owned());
        }
        self.unread.iter().any(|prop| prop.name.as_str() == key)
    }
}

struct SettingsReader<'a> {
    text: &'a str,
    errors: Vec<InvalidSetting>,
}

impl<'a> SettingsReader<'a> {
    fn settings(&mut self) -> Option<Settings> {
        let text = self.text.trim_start_matches(BYTE_ORDER_MARK);
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let root = match parsed {
            Ok(result) => result.value,
            Err(e) => {
                let line = self.line_at(e.range().start);
                self.report(line, "", "not JSON with comments", &e.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(root)) = root else {
            self.report(1, "", "not an object", "one object");
            return None;
        };
        let mut top = self.section("", root);
        let settings = self.read_settings(&mut top);
        self.report_unknown_keys(top);
        settings
    }

    fn read_settings(&mut self, top: &mut Section<'a>) -> Option<Settings> {
        let daemon = self.daemon_id(top);
        let data_centre = self.name(top, "data_centre");
        let log = self.url(top, "log");
        let listen = self.listen(top);
        let advertise_peers = self.optional_address(top, "advertise_peers");
        let seeds = self.addresses(top, "seeds");
        let token =
            self.non_empty_string(top, "token", "a string of visible ASCII characters", |text| {
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
            .non_empty_string(
                top,
                "log_filter",
                "a filter like info,baobabreel_daemon=debug",
                |text| EnvFilter::try_new(text).is_ok(),
            )
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
            drain_close: CLOSE_TIMEOUT,
            drain_notice,
            drain_long_until: Duration::ZERO,
            host_notice: drain_notice,
            threads: usize::try_from(threads).ok()?,
            policy,
            retry: RetrySettings::default(),
            revocation: None,
            quota: None,
            rollout: None,
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
        self.report_unknown_keys(section);
        let found = [
            ("callers", callers),
            ("peers", peers),
            ("backend", backend),
            ("operators", operators),
        ];
        self.check_distinct_addresses(line, &found);
        Some(Listen { callers: callers?, peers: peers?, backend: backend?, operators: operators? })
    }

    /// Reports listeners with the same address. Port 0 may repeat, since it stands for any free port.
    fn check_distinct_addresses(&mut self, line: usize, listeners: &[(&str, Option<SocketAddr>)]) {
        for (at, (name, addr)) in listeners.iter().enumerate() {
            let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
            let same = listeners[..at].iter().find(|(_, earlier)| *earlier == Some(addr));
            if let Some((earlier, _)) = same {
                let value = format!("{addr}, as `listen.{earlier}` is");
                self.report(line, &format!("listen.{name}"), &value, "an address of its own");
            }
        }
    }

    fn limits(&mut self, top: &mut Section<'a>) -> Option<Limits> {
        let mut section = match self.take_key(top, "limits") {
            None => Section {
                path: "limits".to_owned(),
                line: top.line,
                unread: Vec::new(),
                known: Vec::new(),
            },
            Some(ObjectProp { value: Value::Object(object), .. }) => self.section("limits", object),
            Some(prop) => {
                self.report_invalid(top, &prop, "an object");
                return None;
            }
        };
        let body_bytes = self.integer(&mut section, "body_bytes", 64 << 20, 1..=1 << 30);
        let header_bytes = self.integer(&mut section, "header_bytes", 16 << 10, 8192..=1 << 20);
        let callers = self.integer(&mut section, "caller_connections", 4_096, 1..=65_536);
        let peers = self.integer(&mut section, "peer_connections", 8_192, 1..=65_536);
        let backend = self.integer(&mut section, "backend_connections", 100, 1..=65_536);
        let memory = self.optional_integer(&mut section, "memory_bytes", MEMORY_RANGE);
        let descriptors = self.optional_integer(&mut section, "descriptors", 64..=1 << 20);
        self.report_unknown_keys(section);
        // Of the descriptors, a tenth is left for files, operators and the log.
        let within = |most: u64, share: f64| {
            let allowed = descriptors.map_or(u64::MAX, |count| (count as f64 * share) as u64);
            usize::try_from(most.min(allowed)).ok()
        };
        Some(Limits {
            body_bytes,
            header_bytes: usize::try_from(header_bytes).ok()?,
            caller_connections: within(callers, CALLER_CONNECTION_SHARE)?,
            peer_connections: within(peers, PEER_CONNECTION_SHARE)?,
            backend_connections: within(backend, BACKEND_CONNECTION_SHARE)?,
            memory_bytes: memory,
            descriptors: descriptors.and_then(|count| usize::try_from(count).ok()),
            link_bits_per_sec: None,
        })
    }

    fn section(&mut self, path: &str, object: Object<'a>) -> Section<'a> {
        let line = self.line_at(object.range.start);
        Section { path: path.to_owned(), line, unread: object.properties, known: Vec::new() }
    }

    /// Takes a required object out of `top`.
    fn required_section(&mut self, top: &mut Section<'a>, key: &str) -> Option<Section<'a>> {
        match self.take_key(top, key) {
            Some(ObjectProp { value: Value::Object(object), .. }) => {
                Some(self.section(key, object))
            }
            Some(prop) => {
                self.report_invalid(top, &prop, "an object");
                None
            }
            None => {
                self.report_missing(top, key, "an object");
                None
            }
        }
    }

    /// Removes a key from a section and returns it; a repeated key is an error.
    fn take_key(&mut self, section: &mut Section<'a>, key: &str) -> Option<ObjectProp<'a>> {
        section.has(key);
        let mut found = None;
        let mut i = 0;
        while i < section.unread.len() {
            if section.unread[i].name.as_str() != key {
                i += 1;
                continue;
            }
            let prop = section.unread.remove(i);
            if found.is_some() {
                let line = self.line_at(prop.range.start);
                self.report(line, &join_path(&section.path, key), "given twice", "each key once");
            } else {
                found = Some(prop);
            }
        }
        found
    }

    /// Reports the keys that were not read as unknown.
    fn report_unknown_keys(&mut self, section: Section<'a>) {
        let allowed = section.known.join(", ");
        for prop in section.unread {
            let line = self.line_at(prop.range.start);
            let key = join_path(&section.path, prop.name.as_str());
            self.report(line, &key, "an unknown key", &allowed);
        }
    }

    /// Reads an optional string; returns it with its property, so that the caller can report an error.
    fn optional_string(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
    ) -> Option<(String, ObjectProp<'a>)> {
        let prop = self.take_key(section, key)?;
        if let Value::StringLit(text) = &prop.value {
            return Some((text.value.to_string(), prop));
        }
        self.report_invalid(section, &prop, allowed);
        None
    }

    /// Reads a required string and parses it; a value that `accept` refuses is an error.
    fn required<T: FromStr>(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
        accept: impl Fn(&T) -> bool,
    ) -> Option<T> {
        if !section.has(key) {
            self.report_missing(section, key, allowed);
            return None;
        }
        let (text, prop) = self.optional_string(section, key, allowed)?;
        match text.parse() {
            Ok(value) if accept(&value) => Some(value),
            _ => {
                self.report_invalid(section, &prop, allowed);
                None
            }
        }
    }

    /// Reads the identifier of the daemon, which has to fit into the idempotency keys that it issues.
    fn daemon_id(&mut self, section: &mut Section<'a>) -> Option<String> {
        let allowed = format!(
            "1 to {MAX_ISSUER_BYTES} characters of a-z 0-9 . _ -, the first a letter or digit"
        );
        self.required(section, "daemon", &allowed, |id: &String| {
            id.len() <= MAX_ISSUER_BYTES
                && RecordKey::new(Kind::BackendServer, id.clone()).is_valid()
        })
    }

    /// Reads a required name in the syntax of record names.
    fn name(&mut self, section: &mut Section<'a>, key: &str) -> Option<String> {
        let allowed = "1 to 128 characters of a-z 0-9 . _ -, the first a letter or digit";
        let accept = |name: &String| RecordKey::new(Kind::BackendServer, name.clone()).is_valid();
        self.required(section, key, allowed, accept)
    }

    /// Reads a required HTTP URL that has a socket address and no path.
    fn url(&mut self, section: &mut Section<'a>, key: &str) -> Option<String> {
        self.required(section, key, "an address like http://10.0.0.1:7000", |text: &String| {
            text.strip_prefix("http://")
                .is_some_and(|rest| rest.trim_end_matches('/').parse::<SocketAddr>().is_ok())
        })
    }

    fn address(&mut self, section: &mut Section<'a>, key: &str) -> Option<SocketAddr> {
        self.required(section, key, ADDRESS_FORMAT, |_: &SocketAddr| true)
    }

    fn optional_address(&mut self, section: &mut Section<'a>, key: &str) -> Option<SocketAddr> {
        if section.has(key) { self.address(section, key) } else { None }
    }

    fn addresses(&mut self, section: &mut Section<'a>, key: &str) -> Vec<SocketAddr> {
        let allowed = "a list of addresses like 10.0.0.1:7101";
        let Some(prop) = self.take_key(section, key) else {
            return Vec::new();
        };
        let Value::Array(array) = &prop.value else {
            self.report_invalid(section, &prop, allowed);
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
                    self.report(line, &join_path(&section.path, key), &value, ADDRESS_FORMAT);
                }
            }
        }
        found
    }

    /// Reads an optional string that is not empty and that `accept` accepts.
    fn non_empty_string(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        allowed: &str,
        accept: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let (text, prop) = self.optional_string(section, key, allowed)?;
        if text.is_empty() || !accept(&text) {
            self.report_invalid(section, &prop, allowed);
            return None;
        }
        Some(text)
    }

    /// Reads an optional integer within `range`.
    fn integer(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(prop) = self.take_key(section, key) else {
            return default;
        };
        let value = prop.value.as_number_lit().and_then(|number| number.value.parse().ok());
        if let Some(value) = value.filter(|value| range.contains(value)) {
            return value;
        }
        let allowed = format!("an integer from {} to {}", range.start(), range.end());
        self.report_invalid(section, &prop, &allowed);
        default
    }

    /// Reads an optional integer within `range` that has no default.
    fn optional_integer(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let least = *range.start();
        section.has(key).then(|| self.integer(section, key, least, range))
    }

    /// Reads an optional duration in milliseconds.
    fn millis(
        &mut self,
        section: &mut Section<'a>,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.integer(section, key, default, range))
    }

    /// Reads an optional number from 0 to 1.
    fn share(&mut self, section: &mut Section<'a>, key: &str, default: f64) -> f64 {
        let Some(prop) = self.take_key(section, key) else {
            return default;
        };
        let value = prop.value.as_number_lit().and_then(|number| number.value.parse().ok());
        if let Some(value) = value.filter(|value| (0.0..=1.0).contains(value)) {
            return value;
        }
        self.report_invalid(section, &prop, "a number from 0 to 1");
        default
    }

    fn policy(&mut self, top: &mut Section<'a>) -> Policy {
        let allowed = "`full`, or `plain` for measurements";
        match self.optional_string(top, "policy", allowed) {
            None => Policy::Full,
            Some((text, _)) if text == "full" => Policy::Full,
            Some((text, _)) if text == "plain" => Policy::Plain,
            Some((_, prop)) => {
                self.report_invalid(top, &prop, allowed);
                Policy::Full
            }
        }
    }

    fn report_missing(&mut self, section: &Section<'a>, key: &str, allowed: &str) {
        let (line, key) = (section.line, join_path(&section.path, key));
        self.report(line, &key, "missing", allowed);
    }

    fn report_invalid(&mut self, section: &Section<'a>, prop: &ObjectProp<'a>, allowed: &str) {
        let range = prop.value.range();
        let value = self.text[range.start..range.end].to_owned();
        let line = self.line_at(range.start);
        let key = join_path(&section.path, prop.name.as_str());
        self.report(line, &key, &value, allowed);
    }

    fn report(&mut self, line: usize, key: &str, value: &str, allowed: &str) {
        self.errors.push(InvalidSetting {
            line,
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns the line of a byte position, counted from 1.
    fn line_at(&self, position: usize) -> usize {
        self.text[..position.min(self.text.len())].matches('\n').count() + 1
    }
}

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// Allowed memory limits, in bytes. A daemon without load needs about 12 MB.
const MEMORY_RANGE: RangeInclusive<u64> = 32 << 20..=1 << 40;

/// Most connections of callers, as a share of the descriptors.
const CALLER_CONNECTION_SHARE: f64 = 0.5;

/// Most connections of other daemons, as a share of the descriptors.
const PEER_CONNECTION_SHARE: f64 = 0.3;

/// Most connections to the backend server, as a share of the descriptors.
const BACKEND_CONNECTION_SHARE: f64 = 0.1;

/// Description of a socket address in error messages.
const ADDRESS_FORMAT: &str = "an address like 10.0.0.1:7101";

/// Joins the path of a section and a key.
fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
