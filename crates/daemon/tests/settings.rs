//! Errors in settings files, and that nothing starts while there are any.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use baobabreel_daemon::settings::{Policy, parse};

const MINIMAL: &str = r#"{
  // Comments are allowed.
  "daemon": "a1",
  "data_centre": "hobart-a",
  "log": "http://127.0.0.1:7000",
  "listen": {
    "callers": "127.0.0.1:7100", "peers": "127.0.0.1:7101",
    "backend": "127.0.0.1:7102", "operators": "127.0.0.1:7103"
  }
}
"#;

fn errors(text: &str) -> String {
    parse("f.jsonc", text).expect_err("the settings should be invalid").to_string()
}

/// Guards against an error that hides another one, and against a message without the place, the value
/// and the allowed values.
#[test]
fn every_error_is_reported_with_its_place() {
    let text = r#"{
  "daemon": "a-name-of-27-characters-abc",
  "data_centre": 7,
  "log": "https://log",
  "listen": {
    "callers": "127.0.0.1",
    "peers": "127.0.0.1:7101",
    "backend": "127.0.0.1:7102", "backend": "127.0.0.1:7104",
    "other": "127.0.0.1:7105"
  },
  "seeds": ["127.0.0.1:1", "x"],
  "advertise_peers": null,
  "token": "two words",
  "limits": {"body_bytes": 0, "header_bytes": "16 KB"},
  "drain_limit_ms": -1,
  "drain_notice_ms": 1.5,
  "log_retention_ms": 59999,
  "threads": 65, "policy": "best",
  "max_schema": 3,
  "trace_share": 1.1,
  "log_filter": "daemon=loud",
  "treads": 2,
  "threads": 3
}"#;
    let expected = "\
f.jsonc:2: `daemon` is \"a-name-of-27-characters-abc\"; allowed: 1 to 26 characters of a-z 0-9 . _ -, the first a letter or digit
f.jsonc:3: `data_centre` is 7; allowed: 1 to 128 characters of a-z 0-9 . _ -, the first a letter or digit
f.jsonc:4: `log` is \"https://log\"; allowed: an address like http://10.0.0.1:7000
f.jsonc:5: `listen.operators` is missing; allowed: an address like 10.0.0.1:7101
f.jsonc:6: `listen.callers` is \"127.0.0.1\"; allowed: an address like 10.0.0.1:7101
f.jsonc:8: `listen.backend` is given twice; allowed: each key once
f.jsonc:9: `listen.other` is an unknown key; allowed: callers, peers, backend, operators
f.jsonc:11: `seeds` is \"x\"; allowed: an address like 10.0.0.1:7101
f.jsonc:12: `advertise_peers` is null; allowed: an address like 10.0.0.1:7101
f.jsonc:13: `token` is \"two words\"; allowed: a string of visible ASCII characters
f.jsonc:14: `limits.body_bytes` is 0; allowed: an integer from 1 to 1073741824
f.jsonc:14: `limits.header_bytes` is \"16 KB\"; allowed: an integer from 8192 to 1048576
f.jsonc:15: `drain_limit_ms` is -1; allowed: an integer from 0 to 600000
f.jsonc:16: `drain_notice_ms` is 1.5; allowed: an integer from 0 to 60000
f.jsonc:17: `log_retention_ms` is 59999; allowed: an integer from 60000 to 31622400000
f.jsonc:18: `threads` is 65; allowed: an integer from 1 to 64
f.jsonc:18: `policy` is \"best\"; allowed: `full`, or `plain` for measurements
f.jsonc:19: `max_schema` is 3; allowed: an integer from 1 to 2
f.jsonc:20: `trace_share` is 1.1; allowed: a number from 0 to 1
f.jsonc:21: `log_filter` is \"daemon=loud\"; allowed: a filter like info,baobabreel_daemon=debug
f.jsonc:22: `treads` is an unknown key; allowed: daemon, data_centre, log, listen, advertise_peers, seeds, token, limits, drain_limit_ms, drain_notice_ms, log_retention_ms, threads, policy, max_schema, trace_share, log_filter
f.jsonc:23: `threads` is given twice; allowed: each key once";
    assert_eq!(errors(text), expected);
}

/// Guards against files without a settings object, with missing keys or with broken syntax.
#[test]
fn files_without_required_settings_are_refused() {
    assert_eq!(errors(""), "f.jsonc:1: is not an object; allowed: one object");
    assert_eq!(errors("[]"), "f.jsonc:1: is not an object; allowed: one object");
    let expected = "\
f.jsonc:1: `daemon` is missing; allowed: 1 to 26 characters of a-z 0-9 . _ -, the first a letter or digit
f.jsonc:1: `data_centre` is missing; allowed: 1 to 128 characters of a-z 0-9 . _ -, the first a letter or digit
f.jsonc:1: `log` is missing; allowed: an address like http://10.0.0.1:7000
f.jsonc:1: `listen` is missing; allowed: an object";
    assert_eq!(errors("{}"), expected);
    let broken = errors("{\n  \"daemon\": \"a1\",\n  \"log\" \"x\"\n}");
    assert!(broken.starts_with("f.jsonc:3: is not JSON with comments; allowed: "), "{broken}");
}

/// Guards against defaults that differ from the documented ones.
#[test]
fn minimal_file_gets_the_defaults() {
    let settings = parse("f.jsonc", MINIMAL).expect("the settings should be valid");
    assert_eq!(settings.daemon, "a1");
    assert_eq!(settings.drain_limit, Duration::from_secs(30));
    assert_eq!(settings.drain_notice, Duration::from_secs(1));
    assert_eq!(settings.limits.backend_connections, 100);
    assert_eq!(settings.limits.peer_connections, 8_192);
    assert_eq!(settings.policy, Policy::Full);
    let plain = MINIMAL.replace("{\n  //", "{\n  \"policy\": \"plain\",\n  //");
    assert_eq!(
        parse("f.jsonc", &plain).expect("the settings should be valid").policy,
        Policy::Plain
    );
    assert_eq!((settings.token, settings.advertise_peers), (None, None));
}

/// Guards against settings that pass the check but fail at startup, since two listeners have the same
/// address.
#[test]
fn listeners_need_distinct_addresses() {
    let text = MINIMAL.replace("127.0.0.1:7103", "127.0.0.1:7100");
    let expected = "f.jsonc:6: `listen.operators` is 127.0.0.1:7100, as `listen.callers` is; \
                    allowed: an address of its own";
    assert_eq!(errors(&text), expected);
    let text = MINIMAL.replace("7101", "0").replace("7102", "0");
    parse("f.jsonc", &text).expect("port 0 should be allowed twice");
}

/// Guards against a message about an unexpected character that an editor does not show.
#[test]
fn byte_order_mark_is_reported() {
    let expected =
        "f.jsonc:1: is a file that begins with a byte order mark; allowed: UTF-8 without one";
    assert_eq!(errors(&format!("\u{feff}{MINIMAL}")), expected);
}

/// Writes a settings file and runs the daemon with it.
fn run_daemon(name: &str, text: &str, args: &[&str]) -> (Output, PathBuf) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("failed to write the settings file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_baobabreeld"));
    let output = command.arg("--settings").arg(&file).args(args).output();
    (output.expect("failed to run the daemon"), file)
}

/// Guards against a daemon that listens before its settings are validated. All its ports are taken, so
/// that an attempt to listen fails with a different message.
#[test]
fn daemon_does_not_listen_before_settings_are_valid() {
    let taken = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("failed to bind a port"));
    let mut text = MINIMAL.to_owned();
    for (listener, port) in taken.iter().zip(["7100", "7101", "7102", "7103"]) {
        let addr = listener.local_addr().expect("failed to read the local address");
        text = text.replace(&format!("127.0.0.1:{port}"), &addr.to_string());
    }
    let bad = text.replace("\"a1\"", "\"A1\"");
    for args in [&[][..], &["--check-settings"]] {
        let (output, file) = run_daemon("bad.jsonc", &bad, args);
        let expected = format!(
            "{}:3: `daemon` is \"A1\"; allowed: 1 to 26 characters of a-z 0-9 . _ -, the first a \
             letter or digit\n",
            file.display()
        );
        assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
        assert_eq!((output.status.code(), output.stdout.len()), (Some(1), 0));
    }
    let (output, file) = run_daemon("good.jsonc", &text, &["--check-settings"]);
    assert_eq!(output.status.code(), Some(0));
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(stdout, format!("{}: good\n", file.display()));
    let (output, _) = run_daemon("good.jsonc", &text, &[]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("failed to listen for callers on"), "{stderr}");
}
