//! Exact output and exit codes of the command line.

mod support;

use std::path::PathBuf;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::config::ConfigState;
use serde_json::{Value, json};
use support::{FakeDaemon, FakeLog, Fault, cli, entry, member, status};

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}

fn service(queue: u32) -> Value {
    json!([{"key": "service/catalogue", "forms": {"1": {"body": {"queue": queue}}}}])
}

/// A log with a service and a route to it, at version 1.1.
fn log() -> FakeLog {
    let log = FakeLog::new();
    let route = json!({"path_prefix": "/lots", "service": "catalogue", "idempotent": true,
        "timeout_ms": 800});
    let mut upserts = service(8);
    let refs = ["service/catalogue"];
    let route = json!({"key": "route/lots", "forms": {"1": {"refs": refs, "body": route}}});
    upserts.as_array_mut().expect("a list").push(route);
    let expected = json!({"service/catalogue": null, "route/lots": null});
    log.put("config", &entry("first", &expected, &upserts));
    log
}

fn queue_file(name: &str) -> String {
    file(name, &json!({"upserts": service(16)}).to_string())
}

fn mesh(looks: impl IntoIterator<Item = Vec<Result<StatusDoc, MemberDoc>>>) -> FakeDaemon {
    let daemon = FakeDaemon::default();
    daemon.looks.borrow_mut().extend(looks);
    daemon
}

const PUBLISHED: &str = "\
~ service/catalogue
    1.queue: 8 -> 16
accepted as version 1.2
";

/// Guards against a change that is published without its revisions, or without showing it.
#[tokio::test]
async fn publish_fills_in_revisions_and_shows_the_change() {
    let (log, file) = (log(), queue_file("publish.json"));
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((ran.code, ran.stdout.as_str()), (0, PUBLISHED));
    let again = cli(&format!("publish {file} --change-id new-id"), Some(&log), &[]).await;
    let text = "change id new-id was published before\naccepted as version 1.2\n";
    assert_eq!((again.code, again.stdout.as_str()), (0, text));
    assert_eq!(log.len(), 2);
}

/// Guards against a second append of a change that took effect although its answer was lost.
#[tokio::test]
async fn publish_reads_the_log_after_a_lost_answer() {
    let (log, file) = (log(), queue_file("lost.json"));
    log.0.borrow_mut().faults.push_back(Fault::AnswerLost);
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((ran.code, ran.stdout.as_str()), (0, PUBLISHED));
    assert_eq!(log.0.borrow().appends, 1);
    let line = "failed to learn whether the append took effect: no answer; \
                looking for change id new-id in the log";
    assert_eq!(ran.progress, [line]);
}

/// Guards against a change that is given up although it can be appended again with the same id.
#[tokio::test]
async fn publish_appends_again_after_a_lost_request() {
    let (log, file) = (log(), queue_file("again.json"));
    log.0.borrow_mut().faults.push_back(Fault::RequestLost);
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((ran.code, ran.stdout.as_str()), (0, PUBLISHED));
    assert_eq!(log.0.borrow().appends, 2);
}

/// Guards against a change reported as failed that may yet take effect, and the other way round.
#[tokio::test]
async fn publish_tells_unknown_from_refused() {
    let (log, file) = (log(), queue_file("unknown.json"));
    log.0.borrow_mut().faults.extend([Fault::RequestLost; 4]);
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "the outcome is unknown; repeat with `--change-id new-id`: \
                failed to learn whether the append took effect: no answer\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (5, text));
    log.0.borrow_mut().faults.push_back(Fault::Refused);
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "failed to append: nothing was published: the log answered 503\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (3, text));
    let later = json!({"type": "canary", "change_id": "x"}).to_string();
    let newer = FakeLog::new();
    newer.put("config", &later);
    let ran = cli(&format!("publish {file}"), Some(&newer), &[]).await;
    let text = "failed to judge an entry: entry type `canary` is unknown\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (1, text));
    log.0.borrow_mut().down = true;
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    assert_eq!((ran.code, ran.stderr.as_str()), (3, "failed to reach http://log\n"));
}

/// Guards against overwriting a change of another operator.
#[tokio::test]
async fn publish_reports_a_conflict() {
    let (log, file) = (log(), queue_file("conflict.json"));
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.0.borrow_mut().racer = Some(entry("other", &expected, &service(4)));
    let ran = cli(&format!("publish {file}"), Some(&log), &[]).await;
    let text = "~ service/catalogue\n    1.queue: 8 -> 16\n\
        rejected at 1.3: conflict: service/catalogue is at 1.2, expected 1.1\n";
    assert_eq!((ran.code, ran.stdout.as_str()), (1, text));
    let line = format!("publish {file} --expect service/catalogue=1.1 --change-id c");
    let ran = cli(&line, Some(&log), &[]).await;
    let text = "~ service/catalogue\n    1.queue: 4 -> 16\nnot published, it would be rejected: \
        conflict: service/catalogue is at 1.2, expected 1.1\n";
    assert_eq!((ran.code, ran.stdout.as_str()), (1, text));
    assert_eq!(log.len(), 3);
}

/// Guards against a wait that ends early, and against lagging data centres that are not named.
#[tokio::test]
async fn wait_follows_the_daemons() {
    let (log, file) = (log(), queue_file("wait.json"));
    let behind = vec![
        Ok(status("a-w1", "hobart-a", 2)),
        Ok(status("b-w1", "hobart-b", 1)),
        Err(member("c-w1", "kingston-c", "suspect")),
        Err(member("c-w2", "kingston-c", "dead")),
    ];
    let mut done = behind.clone();
    done[1] = Ok(status("b-w1", "hobart-b", 2));
    done[2] = Ok(status("c-w1", "kingston-c", 2));
    let daemon = mesh([behind.clone(), behind.clone(), done]);
    let line = format!("publish {file} --wait --timeout 20");
    let ran = cli(&line, Some(&log), &[daemon]).await;
    let text = format!("{PUBLISHED}version 1.2 is in force on 3 of 3 daemons\n");
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text.as_str()));
    let lag = "version 1.2 is in force on 1 of 3 daemons; lagging in hobart-b: b-w1 at 1.1; \
               unreachable in kingston-c: c-w1";
    assert_eq!(ran.progress, [lag]);
    let line = format!("publish {file} --wait --timeout 0 --change-id new-id");
    let ran = cli(&line, Some(&log), &[mesh([behind])]).await;
    assert_eq!(ran.code, 4);
    assert!(ran.stdout.ends_with(&format!("timed out after 0ns: {lag}\n")), "{}", ran.stdout);
    let down = FakeDaemon { down: true, ..FakeDaemon::default() };
    let ran = cli(&line, Some(&log), &[down]).await;
    assert_eq!(ran.code, 3);
}

/// Guards against faults that only show after publishing.
#[tokio::test]
async fn check_reports_faults_with_their_places() {
    let broken = file("broken.json", "{\n  \"upserts\": [],\n  \"delete\": []\n}\n");
    let ran = cli(&format!("check {broken}"), None, &[]).await;
    let text = format!(
        "failed to parse {broken}:3:10: unknown field `delete`, expected `upserts` or `deletes`\n"
    );
    assert_eq!((ran.code, ran.stderr), (1, text));
    let body =
        json!({"path_prefix": "lots", "service": "bids", "idempotent": true, "timeout_ms": 1});
    let upserts =
        json!([{"key": "route/lots", "forms": {"1": {"refs": ["service/bids"], "body": body}}}]);
    let bad = file("bad.json", &json!({"upserts": upserts}).to_string());
    let ran = cli(&format!("check {bad}"), None, &[]).await;
    let text = format!(
        "{bad}: route/lots schema 1: `path_prefix` does not start with `/`\n\
         note: not checked without a log: reference to service/bids\n1 records, 1 faults\n"
    );
    assert_eq!((ran.code, ran.stdout), (1, text));
    let open = std::fs::read_to_string(&bad).expect("file").replace("\"lots\"", "\"/lots\"");
    let open = file("open.json", &open);
    let ran = cli(&format!("check {open}"), Some(&log()), &[]).await;
    let text = format!(
        "{open}: dangling reference: route/lots points at absent service/bids at schema 1\n\
         note: judged on top of version 1.1\n1 records, 1 faults\n"
    );
    assert_eq!((ran.code, ran.stdout), (1, text));
    let good = queue_file("good.json");
    let ran = cli(&format!("check {good}"), Some(&log()), &[]).await;
    let text = "note: judged on top of version 1.1\n1 records, 0 faults\n";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
}

/// Guards against records whose state at a data centre is hidden.
#[tokio::test]
async fn status_shows_each_record_per_data_centre() {
    let log = log();
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.put("config", &entry("second", &expected, &service(9)));
    let mut held = status("b-w2", "hobart-b", 1);
    held.held = Some("schema level 2 is above 1".to_owned());
    let look = vec![
        Ok(status("a-w1", "hobart-a", 2)),
        Ok(status("b-w1", "hobart-b", 1)),
        Ok(held),
        Err(member("c-w1", "kingston-c", "ready")),
    ];
    let ran = cli("status", Some(&log), &[mesh([look])]).await;
    let text = "\
version 1.2 (level 1, from the log)

RECORD             REVISION  hobart-a  hobart-b  kingston-c
route/lots         1.1       1/1       2/2       0/1
service/catalogue  1.2       1/1       0/2       0/1

lagging in hobart-b: b-w1 at 1.1
held in hobart-b: b-w2 at 1.1: schema level 2 is above 1
unreachable in kingston-c: c-w1
";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
}

/// Guards against members reported as unreachable although one of the given daemons reaches them.
#[tokio::test]
async fn status_joins_the_views_of_all_given_daemons() {
    let one = vec![Ok(status("a-w1", "hobart-a", 1)), Err(member("b-w1", "hobart-b", "ready"))];
    let other = vec![Err(member("a-w1", "hobart-a", "suspect")), Ok(status("b-w1", "hobart-b", 1))];
    let down = FakeDaemon { down: true, ..FakeDaemon::default() };
    let ran = cli("status", Some(&log()), &[mesh([one]), down, mesh([other])]).await;
    let text = "\
version 1.1 (level 1, from the log)

RECORD             REVISION  hobart-a  hobart-b
route/lots         1.1       1/1       1/1
service/catalogue  1.1       1/1       1/1
";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
}

/// Guards against readings of the log that differ from what was published.
#[tokio::test]
async fn get_history_and_diff_read_the_log() {
    let log = log();
    log.put("config", &entry("stale", &json!({"service/catalogue": null}), &service(9)));
    log.put("config", &entry("first", &json!({}), &service(9)));
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.put("config", &entry("second", &expected, &service(9)));
    let ran = cli("get service/catalogue", Some(&log), &[]).await;
    let text = "service/catalogue at revision 1.4\n{\n  \"1\": {\n    \"refs\": [],\n    \
        \"body\": {\n      \"queue\": 9\n    }\n  }\n}\n";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
    let ran = cli("get service/none", Some(&log), &[]).await;
    let text = "failed to find service/none: there is no such record\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (1, text));
    let ran = cli("history service/catalogue", Some(&log), &[]).await;
    let text = "\
OFFSET  CHANGE ID  AUTHOR  CHANGE                        VERDICT
1       first      ana     service/catalogue route/lots  accepted
2       stale      ana     service/catalogue             rejected: conflict: service/catalogue is at 1.1, expected absent
3       first      ana     service/catalogue             duplicate of 1.1
4       second     ana     service/catalogue             accepted
";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
    let ran = cli("history route/lots", Some(&log), &[]).await;
    assert_eq!(ran.stdout.lines().count(), 2);
    let ran = cli("diff 1.3 1.4", Some(&log), &[]).await;
    assert_eq!(ran.stdout, "~ service/catalogue\n    1.queue: 8 -> 9\n");
    let ran = cli("diff 1.3 1.9", Some(&log), &[]).await;
    let text = "failed to go to version 1.9: the log has 1.0 to 1.4\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (1, text));
}

/// Guards against a command line that is lost once the start of the log has expired.
#[tokio::test]
async fn the_log_is_read_from_a_snapshot_after_a_retention_cut() {
    let log = log();
    let mut state = ConfigState::new(1);
    let first = entry("a", &json!({"service/catalogue": null}), &service(8));
    state.fold(1, &first).expect("the entry follows");
    log.put("snapshots", &state.snapshot().encode());
    log.put("snapshots", "damaged");
    let expected = json!({"service/catalogue": {"generation": 1, "offset": 1}});
    log.put("config", &entry("second", &expected, &service(9)));
    log.0.borrow_mut().first = 2;
    let ran = cli("get service/catalogue --output json", Some(&log), &[]).await;
    let record = json!({"revision": {"generation": 1, "offset": 2},
        "forms": {"1": {"refs": [], "body": {"queue": 9}}}});
    let found: Value = serde_json::from_str(&ran.stdout).expect("JSON");
    assert_eq!(found, json!({"key": "service/catalogue", "record": record}));
}

/// Guards against a level that daemons in force do not understand.
#[tokio::test]
async fn raise_level_asks_the_daemons_first() {
    let log = log();
    let mut old = status("b-w1", "hobart-b", 1);
    old.max_schema = 1;
    let look = vec![Ok(old), Err(member("c-w1", "kingston-c", "ready"))];
    let ran = cli("raise-level 2", Some(&log), &[mesh([look])]).await;
    let text = "failed to raise the level to 2: b-w1 in hobart-b understands up to 1; \
        c-w1 in kingston-c cannot be reached (see `--force`)\n";
    assert_eq!((ran.code, ran.stderr.as_str()), (1, text));
    assert_eq!(log.len(), 1);
    let daemon = mesh([vec![Ok(status("a-w1", "hobart-a", 1))]]);
    let ran = cli("raise-level 2", Some(&log), &[daemon]).await;
    assert_eq!((ran.code, ran.stdout.as_str()), (0, "accepted as version 1.2\n"));
}

/// Guards against tables that are out of line.
#[tokio::test]
async fn members_and_explain_print_tables() {
    let daemon = mesh([]);
    let down = FakeDaemon { down: true, ..FakeDaemon::default() };
    let ran = cli("members", None, &[down.clone(), daemon.clone()]).await;
    let text = "\
as http://daemon sees them

DATA CENTRE  DAEMON  SERVICE    STATE    SLOTS  POLICY
hobart-a     a-w1    catalogue  ready    10     -
hobart-b     b-w1    catalogue  suspect  10     -
";
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
    let ran = cli("explain --path /lots --key k1", None, &[daemon]).await;
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
    assert_eq!((ran.code, ran.stdout.as_str()), (0, text));
    let ran = cli("members", None, &[down]).await;
    assert_eq!((ran.code, ran.stderr.as_str()), (3, "failed to reach http://daemon\n"));
}

/// Guards against usage faults that look like other failures.
#[tokio::test]
async fn usage_faults_and_help() {
    for (line, fault) in [
        ("publish", "expected FILE, found 0 arguments"),
        (
            "get lots",
            "KEY `lots`: `lots` is not `route/NAME`, `service/NAME` or `backend_server/NAME`",
        ),
        ("status --output xml", "`--output` is not `text` or `json`"),
        ("explain", "`--path` is needed"),
        ("members --nope", "unrecognized option: 'nope'"),
    ] {
        let ran = cli(line, None, &[]).await;
        let name = line.split(' ').next().unwrap_or_default();
        let text =
            format!("failed to parse the command line: {fault}\nTry `baobabreel {name} --help`.\n");
        assert_eq!((ran.code, ran.stderr), (2, text));
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
        let ran = cli(&format!("{name} --help"), None, &[]).await;
        assert_eq!(ran.code, 0);
        assert!(ran.stdout.starts_with(&format!("Usage: baobabreel {name} ")), "{}", ran.stdout);
        assert!(ran.stdout.contains("--output text|json"));
    }
    assert_eq!(cli("frob", None, &[]).await.code, 2);
    assert_eq!(cli("--help", None, &[]).await.code, 0);
    let ran = cli("history", None, &[]).await;
    assert_eq!((ran.code, ran.stderr.as_str()), (2, "`--log URL` is needed\n"));
}

/// Guards against settings that are ignored or whose faults are found one at a time.
#[tokio::test]
async fn settings_give_defaults_and_report_every_fault() {
    let text = "{\n  // The auction's log.\n  \"author\": \"ana\",\n  \"output\": \"json\"\n}\n";
    let settings = file("settings.jsonc", text);
    let (log, change) = (log(), queue_file("settings-change.json"));
    let line = format!("publish {change} --settings {settings}");
    let ran = cli(&line, Some(&log), &[]).await;
    let found: Value = serde_json::from_str(&ran.stdout).expect("JSON");
    let verdict = json!({"verdict": "accepted", "version": {"generation": 1, "offset": 2}});
    assert_eq!((ran.code, &found["verdict"]), (0, &verdict));
    let ran = cli("history --output text", Some(&log), &[]).await;
    assert!(ran.stdout.contains("2       new-id     ana "), "{}", ran.stdout);
    let text = "{\n  \"daemons\": [1],\n  \"logs\": \"x\",\n  \"output\": \"xml\"\n}\n";
    let bad = file("bad.jsonc", text);
    let ran = cli(&format!("status --settings {bad}"), None, &[]).await;
    let text = format!(
        "{bad}:2: `daemons` is [1]; allowed: a list of texts\n\
         {bad}:3: `logs` is unknown; allowed: output, log, daemons, token_file, author\n\
         {bad}:4: `output` is \"xml\"; allowed: \"text\" or \"json\"\n"
    );
    assert_eq!((ran.code, ran.stderr), (2, text));
}
