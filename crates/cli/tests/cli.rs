//! Tests of the exact output and exit codes of the command line.

mod support;

use std::path::PathBuf;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::config::ConfigState;
use serde_json::{Value, json};
use support::{
    AppendFault, FakeDaemon, FakeLog, change_set_entry, member_doc, run_cli, status_doc,
};

/// Writes a file to the temporary directory of the tests and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}

fn service_upserts(queue: u32) -> Value {
    json!([{"key": "service/catalogue", "forms": {"1": {"body": {"queue": queue}}}}])
}

/// Returns a log with a service and a route to it, at version 1.1.
fn log_with_route() -> FakeLog {
    let log = FakeLog::new();
    let route = json!({"path_prefix": "/lots", "service": "catalogue", "idempotent": true,
        "timeout_ms": 800});
    let mut upserts = service_upserts(8);
    let refs = ["service/catalogue"];
    let route = json!({"key": "route/lots", "forms": {"1": {"refs": refs, "body": route}}});
    upserts.as_array_mut().expect("an array of upserts").push(route);
    let expected = json!({"service/catalogue": null, "route/lots": null});
    log.push_record("config", &change_set_entry("first", &expected, &upserts));
    log
}

/// Writes a change file that sets the queue length of the service to 16.
fn write_queue_change(name: &str) -> String {
    write_file(name, &json!({"upserts": service_upserts(16)}).to_string())
}

fn daemon_with_answers(
    mesh_answers: impl IntoIterator<Item = Vec<Result<StatusDoc, MemberDoc>>>,
) -> FakeDaemon {
    let daemon = FakeDaemon::default();
    daemon.mesh_answers.borrow_mut().extend(mesh_answers);
    daemon
}

/// Output of publishing the file of `write_queue_change` to the log of `log_with_route`.
const PUBLISHED: &str = "\
~ service/catalogue
    1.queue: 8 -> 16
accepted as version 1.2
";

/// Guards against a change that is published without expected revisions, or without printing it.
#[tokio::test]
async fn publish_expects_current_revisions_and_prints_the_change() {
    let (log, file) = (log_with_route(), write_queue_change("publish.json"));
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((result.code, result.stdout.as_str()), (0, PUBLISHED));
    let repeated = run_cli(&format!("publish {file} --change-id new-id"), Some(&log), &[]).await;
    let text = "change id new-id was published before\naccepted as version 1.2\n";
    assert_eq!((repeated.code, repeated.stdout.as_str()), (0, text));
    assert_eq!(log.len(), 2);
}

/// Guards against a second append of a change that took effect although its answer was lost.
#[tokio::test]
async fn publish_reads_the_log_after_a_lost_answer() {
    let (log, file) = (log_with_route(), write_queue_change("lost.json"));
    log.0.borrow_mut().faults.push_back(AppendFault::AnswerLost);
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((result.code, result.stdout.as_str()), (0, PUBLISHED));
    assert_eq!(log.0.borrow().appends, 1);
    let line = "failed to determine whether the append took effect: no answer; \
                looking for change id new-id in the log";
    assert_eq!(result.progress, [line]);
}

/// Guards against giving up a change after a lost request, although it can be appended again with
/// the same id.
#[tokio::test]
async fn publish_appends_again_after_a_lost_request() {
    let (log, file) = (log_with_route(), write_queue_change("again.json"));
    log.0.borrow_mut().faults.push_back(AppendFault::RequestLost);
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((result.code, result.stdout.as_str()), (0, PUBLISHED));
    assert_eq!(log.0.borrow().appends, 2);
}

/// Guards against reporting a change as failed that may still take effect, and against reporting a
/// refused change as unknown.
#[tokio::test]
async fn publish_distinguishes_unknown_outcomes_from_refusals() {
    let (log, file) = (log_with_route(), write_queue_change("unknown.json"));
    log.0.borrow_mut().faults.extend([AppendFault::RequestLost; 4]);
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "the outcome is unknown; repeat with `--change-id new-id`: \
                failed to determine whether the append took effect: no answer\n";
    assert_eq!((result.code, result.stderr.as_str()), (5, text));
    log.0.borrow_mut().faults.push_back(AppendFault::Refused);
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "failed to append: nothing was published: the log answered 503\n";
    assert_eq!((result.code, result.stderr.as_str()), (3, text));
    let unsupported_entry = json!({"type": "canary", "change_id": "x"}).to_string();
    let unsupported_log = FakeLog::new();
    unsupported_log.push_record("config", &unsupported_entry);
    let result = run_cli(&format!("publish {file}"), Some(&unsupported_log), &[]).await;
    let text = "failed to judge an entry: entry type `canary` is unknown\n";
    assert_eq!((result.code, result.stderr.as_str()), (1, text));
    log.0.borrow_mut().unreachable = true;
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((result.code, result.stderr.as_str()), (3, "failed to reach http://log\n"));
}

/// Guards against overwriting a concurrent change of another operator.
#[tokio::test]
async fn publish_reports_a_conflict() {
    let (log, file) = (log_with_route(), write_queue_change("conflict.json"));
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.0.borrow_mut().concurrent_entry =
        Some(change_set_entry("other", &expected, &service_upserts(4)));
    let result = run_cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "~ service/catalogue\n    1.queue: 8 -> 16\n\
        rejected at 1.3: conflict: service/catalogue is at 1.2, expected 1.1\n";
    assert_eq!((result.code, result.stdout.as_str()), (1, text));
    let line = format!("publish {file} --expect service/catalogue=1.1 --change-id c");
    let result = run_cli(&line, Some(&log), &[]).await;
    let text = "~ service/catalogue\n    1.queue: 4 -> 16\nnot published, it would be rejected: \
        conflict: service/catalogue is at 1.2, expected 1.1\n";
    assert_eq!((result.code, result.stdout.as_str()), (1, text));
    assert_eq!(log.len(), 3);
}

/// Guards against a wait that ends early, and against lagging daemons that are not named.
#[tokio::test]
async fn wait_ends_when_every_live_daemon_has_the_version() {
    let (log, file) = (log_with_route(), write_queue_change("wait.json"));
    let behind = vec![
        Ok(status_doc("a-w1", "hobart-a", 2)),
        Ok(status_doc("b-w1", "hobart-b", 1)),
        Err(member_doc("c-w1", "kingston-c", "suspect")),
        Err(member_doc("c-w2", "kingston-c", "dead")),
    ];
    let mut done = behind.clone();
    done[1] = Ok(status_doc("b-w1", "hobart-b", 2));
    done[2] = Ok(status_doc("c-w1", "kingston-c", 2));
    let daemon = daemon_with_answers([behind.clone(), behind.clone(), done]);
    let line = format!("publish {file} --wait --timeout 20");
    let result = run_cli(&line, Some(&log), &[daemon]).await;
    let text = format!("{PUBLISHED}version 1.2 is in force on 3 of 3 daemons\n");
    assert_eq!((result.code, result.stdout.as_str()), (0, text.as_str()));
    let lag = "version 1.2 is in force on 1 of 3 daemons; lagging in hobart-b: b-w1 at 1.1; \
               unreachable in kingston-c: c-w1";
    assert_eq!(result.progress, [lag]);
    let line = format!("publish {file} --wait --timeout 0 --change-id new-id");
    let result = run_cli(&line, Some(&log), &[daemon_with_answers([behind])]).await;
    assert_eq!(result.code, 4);
    assert!(result.stdout.ends_with(&format!("timed out after 0ns: {lag}\n")), "{}", result.stdout);
    let unreachable = FakeDaemon { unreachable: true, ..FakeDaemon::default() };
    let result = run_cli(&line, Some(&log), &[unreachable]).await;
    assert_eq!(result.code, 3);
}

/// Guards against errors in a file that are only found after publishing.
#[tokio::test]
async fn check_reports_errors_with_their_positions() {
    let broken = write_file("broken.json", "{\n  \"upserts\": [],\n  \"delete\": []\n}\n");
    let result = run_cli(&format!("check {broken}"), None, &[]).await;
    let text = format!(
        "failed to parse {broken}:3:10: unknown field `delete`, expected `upserts` or `deletes`\n"
    );
    assert_eq!((result.code, result.stderr), (1, text));
    let body =
        json!({"path_prefix": "lots", "service": "bids", "idempotent": true, "timeout_ms": 1});
    let upserts =
        json!([{"key": "route/lots", "forms": {"1": {"refs": ["service/bids"], "body": body}}}]);
    let bad = write_file("bad.json", &json!({"upserts": upserts}).to_string());
    let result = run_cli(&format!("check {bad}"), None, &[]).await;
    let text = format!(
        "{bad}: route/lots schema 1: `path_prefix` does not start with `/`\n\
         note: not checked without a log: reference to service/bids\n1 records, 1 faults\n"
    );
    assert_eq!((result.code, result.stdout), (1, text));
    let unresolved = std::fs::read_to_string(&bad).expect("file").replace("\"lots\"", "\"/lots\"");
    let unresolved = write_file("open.json", &unresolved);
    let result = run_cli(&format!("check {unresolved}"), Some(&log_with_route()), &[]).await;
    let text = format!(
        "{unresolved}: dangling reference: route/lots points at absent service/bids at schema 1\n\
         note: judged on top of version 1.1\n1 records, 1 faults\n"
    );
    assert_eq!((result.code, result.stdout), (1, text));
    let good = write_queue_change("good.json");
    let result = run_cli(&format!("check {good}"), Some(&log_with_route()), &[]).await;
    let text = "note: judged on top of version 1.1\n1 records, 0 faults\n";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
}

/// Guards against hiding how far a record has spread in a data centre.
#[tokio::test]
async fn status_shows_each_record_per_data_centre() {
    let log = log_with_route();
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.push_record("config", &change_set_entry("second", &expected, &service_upserts(9)));
    let mut held = status_doc("b-w2", "hobart-b", 1);
    held.held = Some("schema level 2 is above 1".to_owned());
    let answer = vec![
        Ok(status_doc("a-w1", "hobart-a", 2)),
        Ok(status_doc("b-w1", "hobart-b", 1)),
        Ok(held),
        Err(member_doc("c-w1", "kingston-c", "ready")),
    ];
    let result = run_cli("status", Some(&log), &[daemon_with_answers([answer])]).await;
    let text = "\
version 1.2 (level 1, from the log)

RECORD             REVISION  hobart-a  hobart-b  kingston-c
route/lots         1.1       1/1       2/2       0/1
service/catalogue  1.2       1/1       0/2       0/1

lagging in hobart-b: b-w1 at 1.1
held in hobart-b: b-w2 at 1.1: schema level 2 is above 1
unreachable in kingston-c: c-w1
";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
}

/// Guards against members reported as unreachable although one of the given daemons reaches them.
#[tokio::test]
async fn status_merges_the_answers_of_all_given_daemons() {
    let one =
        vec![Ok(status_doc("a-w1", "hobart-a", 1)), Err(member_doc("b-w1", "hobart-b", "ready"))];
    let other =
        vec![Err(member_doc("a-w1", "hobart-a", "suspect")), Ok(status_doc("b-w1", "hobart-b", 1))];
    let unreachable = FakeDaemon { unreachable: true, ..FakeDaemon::default() };
    let result = run_cli(
        "status",
        Some(&log_with_route()),
        &[daemon_with_answers([one]), unreachable, daemon_with_answers([other])],
    )
    .await;
    let text = "\
version 1.1 (level 1, from the log)

RECORD             REVISION  hobart-a  hobart-b
route/lots         1.1       1/1       1/1
service/catalogue  1.1       1/1       1/1
";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
}

/// Guards against output that differs from what was published.
#[tokio::test]
async fn get_history_and_diff_read_the_log() {
    let log = log_with_route();
    log.push_record(
        "config",
        &change_set_entry("stale", &json!({"service/catalogue": null}), &service_upserts(9)),
    );
    log.push_record("config", &change_set_entry("first", &json!({}), &service_upserts(9)));
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.push_record("config", &change_set_entry("second", &expected, &service_upserts(9)));
    let result = run_cli("get service/catalogue", Some(&log), &[]).await;
    let text = "service/catalogue at revision 1.4\n{\n  \"1\": {\n    \"refs\": [],\n    \
        \"body\": {\n      \"queue\": 9\n    }\n  }\n}\n";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
    let result = run_cli("get service/none", Some(&log), &[]).await;
    let text = "failed to find service/none: there is no such record\n";
    assert_eq!((result.code, result.stderr.as_str()), (1, text));
    let result = run_cli("history service/catalogue", Some(&log), &[]).await;
    let text = "\
OFFSET  CHANGE ID  AUTHOR  CHANGE                        VERDICT
1       first      ana     service/catalogue route/lots  accepted
2       stale      ana     service/catalogue             rejected: conflict: service/catalogue is at 1.1, expected absent
3       first      ana     service/catalogue             duplicate of 1.1
4       second     ana     service/catalogue             accepted
";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
    let result = run_cli("history route/lots", Some(&log), &[]).await;
    assert_eq!(result.stdout.lines().count(), 2);
    let result = run_cli("diff 1.3 1.4", Some(&log), &[]).await;
    assert_eq!(result.stdout, "~ service/catalogue\n    1.queue: 8 -> 9\n");
    let result = run_cli("diff 1.3 1.9", Some(&log), &[]).await;
    let text = "failed to load version 1.9: the log covers 1.0 to 1.4\n";
    assert_eq!((result.code, result.stderr.as_str()), (1, text));
}

/// Guards against commands that fail once the start of the log has expired.
#[tokio::test]
async fn log_is_read_from_a_snapshot_after_its_start_has_expired() {
    let log = log_with_route();
    let mut state = ConfigState::new(1);
    let first = change_set_entry("a", &json!({"service/catalogue": null}), &service_upserts(8));
    state.fold(1, &first).expect("the entry can be folded");
    log.push_record("snapshots", &state.snapshot().encode());
    log.push_record("snapshots", "damaged");
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.push_record("config", &change_set_entry("second", &expected, &service_upserts(9)));
    log.0.borrow_mut().first = 2;
    let result = run_cli("get service/catalogue --output json", Some(&log), &[]).await;
    let record = json!({"revision": {"generation": 1, "offset": 2},
        "forms": {"1": {"refs": [], "body": {"queue": 9}}}});
    let found: Value = serde_json::from_str(&result.stdout).expect("JSON");
    assert_eq!(found, json!({"key": "service/catalogue", "record": record}));
}

/// Guards against raising the level while a live daemon does not support it.
#[tokio::test]
async fn raise_level_requires_support_by_every_daemon() {
    let log = log_with_route();
    let mut old = status_doc("b-w1", "hobart-b", 1);
    old.max_schema = 1;
    let answer = vec![Ok(old), Err(member_doc("c-w1", "kingston-c", "ready"))];
    let result = run_cli("raise-level 2", Some(&log), &[daemon_with_answers([answer])]).await;
    let text = "failed to raise the level to 2: b-w1 in hobart-b supports levels up to 1; \
        c-w1 in kingston-c cannot be reached (see `--force`)\n";
    assert_eq!((result.code, result.stderr.as_str()), (1, text));
    assert_eq!(log.len(), 1);
    let daemon = daemon_with_answers([vec![Ok(status_doc("a-w1", "hobart-a", 1))]]);
    let result = run_cli("raise-level 2", Some(&log), &[daemon]).await;
    assert_eq!((result.code, result.stdout.as_str()), (0, "accepted as version 1.2\n"));
}

/// Guards against misaligned tables.
#[tokio::test]
async fn members_and_explain_print_tables() {
    let daemon = daemon_with_answers([]);
    let unreachable = FakeDaemon { unreachable: true, ..FakeDaemon::default() };
    let result = run_cli("members", None, &[unreachable.clone(), daemon.clone()]).await;
    let text = "\
as http://daemon sees them

DATA CENTRE  DAEMON  SERVICE    STATE    SLOTS  POLICY
hobart-a     a-w1    catalogue  ready    10     -
hobart-b     b-w1    catalogue  suspect  10     -
";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
    let result = run_cli("explain --path /lots --key k1", None, &[daemon]).await;
    let text = "\
daemon   a-w1
version  1.2
route    lots (schema 1)
service  catalogue
class    lookup
owner    k1
chosen   a-w1
error    none

CANDIDATE  DATA CENTRE  STATE     ABLE  REASON
a-w1       hobart-a     ready     yes   lowest score
b-w1       hobart-b     draining  no    draining
";
    assert_eq!((result.code, result.stdout.as_str()), (0, text));
    let result = run_cli("members", None, &[unreachable]).await;
    assert_eq!((result.code, result.stderr.as_str()), (3, "failed to reach http://daemon\n"));
}

/// Guards against usage errors that look like other failures.
#[tokio::test]
async fn usage_errors_exit_with_2_and_help_with_0() {
    for (line, message) in [
        ("publish", "expected FILE, found 0 arguments"),
        (
            "get lots",
            "KEY `lots`: `lots` is not `route/NAME`, `service/NAME` or `backend_server/NAME`",
        ),
        ("status --output xml", "`--output` is not `text` or `json`"),
        ("explain", "`--path` is required"),
        ("members --nope", "unrecognized option: 'nope'"),
    ] {
        let result = run_cli(line, None, &[]).await;
        let name = line.split(' ').next().unwrap_or_default();
        let text = format!(
            "failed to parse the command line: {message}\nTry `baobabreel {name} --help`.\n"
        );
        assert_eq!((result.code, result.stderr), (2, text));
    }
    for name in [
        "check",
        "publish",
        "status",
        "get",
        "history",
        "diff",
        "members",
        "explain",
        "raise-level",
    ] {
        let result = run_cli(&format!("{name} --help"), None, &[]).await;
        assert_eq!(result.code, 0);
        assert!(
            result.stdout.starts_with(&format!("Usage: baobabreel {name} ")),
            "{}",
            result.stdout
        );
        assert!(result.stdout.contains("--output text|json"));
    }
    assert_eq!(run_cli("frob", None, &[]).await.code, 2);
    assert_eq!(run_cli("--help", None, &[]).await.code, 0);
    let result = run_cli("history", None, &[]).await;
    assert_eq!((result.code, result.stderr.as_str()), (2, "`--log URL` is required\n"));
}

/// Guards against settings that are ignored, and against reporting only the first error of a file.
#[tokio::test]
async fn settings_give_defaults_and_report_every_error() {
    let text = "{\n  // The auction's log.\n  \"author\": \"ana\",\n  \"output\": \"json\"\n}\n";
    let settings = write_file("settings.jsonc", text);
    let (log, change) = (log_with_route(), write_queue_change("settings-change.json"));
    let line = format!("publish {change} --settings {settings}");
    let result = run_cli(&line, Some(&log), &[]).await;
    let found: Value = serde_json::from_str(&result.stdout).expect("JSON");
    let verdict = json!({"verdict": "accepted", "version": {"generation": 1, "offset": 2}});
    assert_eq!((result.code, &found["verdict"]), (0, &verdict));
    let result = run_cli("history --output text", Some(&log), &[]).await;
    assert!(result.stdout.contains("2       new-id     ana "), "{}", result.stdout);
    let text = "{\n  \"daemons\": [1],\n  \"logs\": \"x\",\n  \"output\": \"xml\"\n}\n";
    let bad = write_file("bad.jsonc", text);
    let result = run_cli(&format!("status --settings {bad}"), None, &[]).await;
    let text = format!(
        "{bad}:2: `daemons` is [1]; allowed: a list of strings\n\
         {bad}:3: `logs` is unknown; allowed: output, log, daemons, token_file, author\n\
         {bad}:4: `output` is \"xml\"; allowed: \"text\" or \"json\"\n"
    );
    assert_eq!((result.code, result.stderr), (2, text));
}
