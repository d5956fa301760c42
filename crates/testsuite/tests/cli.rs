//! The command line as a process against daemons and a log.

use std::path::{Path, PathBuf};

use baobabreel_test_support::log::{LogServer, LogSettings};
use baobabreel_test_support::mesh::{NodeSpec, entry_text, settings_text};
use baobabreel_test_support::process::{ChildProcess, ChildSettings, target_binary};
use baobabreel_testsuite::{LIMIT, first_change, wait_until};
use serde_json::{Value, json};

/// Exit code and standard output and error of a command.
type Ran = (i32, String, String);

/// A log, two daemons in two data centres with their backend servers, and a folder for files of changes.
struct Desk {
    log: LogServer,
    /// Kept running.
    _processes: Vec<ChildProcess>,
    operators: Vec<String>,
    folder: tempfile::TempDir,
}

impl Desk {
    async fn ready() -> Self {
        let log = LogServer::start(LogSettings::new()).await.expect("log starts");
        let (mut processes, mut operators, mut seeds) = (Vec::new(), Vec::new(), Vec::new());
        for (name, site) in [("a1", "hobart-a"), ("b1", "hobart-b")] {
            let spec = NodeSpec::new(name, site, "catalogue");
            let text = settings_text(&spec, &log.url(), &seeds);
            let settings = ChildSettings::new(binary("baobabreeld"));
            let settings = settings.settings("--settings", text).ready_limit(None);
            let daemon = ChildProcess::start(settings).await.expect("daemon starts");
            let addresses = daemon.wait_for_line(LIMIT, |line| {
                line.json().is_some_and(|json| json["operators"].is_string())
            });
            let line = addresses.await.expect("daemon listens").json().expect("JSON");
            let addr = |field: &str| line[field].as_str().expect("an address").to_owned();
            operators.push(format!("http://{}", addr("operators")));
            seeds.push(addr("peers").parse().expect("an address"));
            let backend = ChildSettings::new(binary("backend"))
                .arg("--service=catalogue")
                .arg(format!("--name={name}"))
                .arg(format!("--announce-url=http://{}", addr("backend")));
            processes.push(ChildProcess::start(backend).await.expect("backend starts"));
            processes.push(daemon);
        }
        log.append("config", &entry_text(first_change()));
        let folder = tempfile::tempdir().expect("a folder");
        let desk = Self { log, _processes: processes, operators, folder };
        wait_until("all daemons are ready", async || {
            let (_, members, _) = desk.run("members").await;
            members.matches(" ready ").count() == 2
        })
        .await;
        desk
    }

    /// Runs a command in the folder, with the log and one daemon.
    async fn run(&self, line: &str) -> Ran {
        let addresses = [("--log", self.log.url()), ("--daemon", self.operators[0].clone())];
        run(self.folder.path(), line, &addresses).await
    }

    fn file(&self, name: &str, upserts: &Value) {
        let text = json!({ "upserts": upserts }).to_string();
        std::fs::write(self.folder.path().join(name), text).expect("the file can be written");
    }
}

fn binary(name: &str) -> PathBuf {
    let hint = "first run `cargo build --workspace --bins --examples`";
    target_binary(name).unwrap_or_else(|e| panic!("{e}; {hint}"))
}

async fn run(folder: &Path, line: &str, addresses: &[(&str, String)]) -> Ran {
    let mut command = tokio::process::Command::new(binary("baobabreel"));
    command.current_dir(folder).args(line.split(' '));
    for (option, url) in addresses {
        command.arg(option).arg(url);
    }
    let output = command.output().await.expect("the command runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    (code, text(output.stdout), text(output.stderr))
}

fn service(queue: u32) -> Value {
    json!([{"key": "service/catalogue", "forms": {"1": {"body": {"queue": queue}}}}])
}

/// The command succeeds with exactly this text.
fn assert_done(ran: Ran, text: &str) {
    assert_eq!(ran, (0, text.to_owned(), String::new()));
}

/// The command succeeds with exactly this text, and reports nothing but the progress of its wait, which it
/// does when a daemon does not have the version yet at the first look.
fn assert_waited((code, text, progress): Ran, expected: &str, begins: &str) {
    assert_eq!((code, text.as_str()), (0, expected));
    for line in progress.lines() {
        let lags = line.starts_with(begins) && line.contains(" of 2 daemons; lagging in hobart-");
        assert!(lags, "{progress}");
    }
}

/// Guards against a command line that fails at its real log and daemons, a wait that needs the addresses
/// of all daemons, and wrong exit codes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn commands_work_on_a_running_mesh() {
    let desk = Desk::ready().await;
    desk.file("queue.json", &service(16));
    let judged = "note: judged on top of version 1.1\n1 records, 0 faults\n";
    assert_done(desk.run("check queue.json").await, judged);
    assert_done(desk.run("diff queue.json").await, CHANGED);
    let ran = desk.run("publish queue.json --change-id second --wait").await;
    let text = "accepted as version 1.2\nversion 1.2 is in force on 2 of 2 daemons\n";
    assert_waited(ran, &format!("{CHANGED}{text}"), "version 1.2 is in force on ");
    assert_done(desk.run("status").await, STATUS);
    let (code, members, _) = desk.run("members").await;
    let members = members.replace(&desk.operators[0], "http://DAEMON");
    assert_eq!((code, members.as_str()), (0, MEMBERS));
    let (code, explained, _) = desk.run("explain --path /lots/7").await;
    // The choice between able backend servers is random.
    let explained = explained.replace("chosen   b1", "chosen   a1");
    assert_eq!((code, explained.as_str()), (0, EXPLAINED));
    assert_done(desk.run("get service/catalogue").await, RECORD);
    let ran = desk.run("raise-level 2 --change-id level").await;
    assert_done(ran, "accepted as version 1.3\n");
    assert_done(desk.run("history").await, HISTORY);
    assert_eq!(desk.run("get service/none").await.0, 1);
    assert_eq!(desk.run("publish").await.0, 2);
    let nobody = [("--log", "http://127.0.0.1:1".to_owned())];
    let ran = run(desk.folder.path(), "get service/catalogue", &nobody).await;
    assert_eq!(ran.0, 3);
}

/// Guards against a change that is published twice after a lost answer, a bad change that reaches the
/// log, and an operator who overwrites the change of another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_of_log_and_operators_change_nothing_twice() {
    let desk = Desk::ready().await;
    desk.file("queue.json", &service(16));
    desk.log.set_faults(|faults| faults.lose_answers = 1);
    let (code, text, progress) = desk.run("publish queue.json --change-id second").await;
    let accepted = format!("{CHANGED}accepted as version 1.2\n");
    assert_eq!((code, text), (0, accepted));
    assert!(progress.contains("looking for change id second in the log"), "{progress}");
    assert_eq!(desk.log.records("config").len(), 2, "it is appended once");
    let entry = desk.log.records("config")[1].data.clone();
    desk.log.append("config", &entry);
    let ran = desk.run("publish queue.json --change-id second --wait").await;
    let text = "change id second was published before\naccepted as version 1.2\n\
        version 1.2 is in force on 2 of 2 daemons\n";
    assert_done(ran, text);

    let body =
        json!({"path_prefix": "/yard", "service": "yard", "idempotent": true, "timeout_ms": 9});
    let form = json!({"1": {"refs": ["service/yard"], "body": body}});
    desk.file("bad.json", &json!([{"key": "route/yard", "forms": form}]));
    let (code, text, _) = desk.run("publish bad.json --change-id bad").await;
    let reason = "dangling reference: route/yard points at absent service/yard at schema 1\n";
    assert_eq!(code, 1);
    assert!(text.ends_with(reason), "{text}");
    assert_eq!(desk.run("check bad.json").await.0, 1);

    desk.file("mine.json", &service(4));
    let line = "publish mine.json --change-id mine --expect service/catalogue=1.1";
    let text = "~ service/catalogue\n    1.queue: 16 -> 4\nnot published, it would be rejected: \
        conflict: service/catalogue is at 1.2, expected 1.1\n";
    assert_eq!(desk.run(line).await, (1, text.to_owned(), String::new()));
    assert_eq!(desk.log.records("config").len(), 3, "no rejected change is in the log");
    let (_, history, _) = desk.run("history service/catalogue").await;
    let last = history.lines().last().unwrap_or_default();
    assert!(last.ends_with("duplicate of 1.2"), "{history}");
}

const CHANGED: &str = "\
~ service/catalogue
    1: {} -> (none)
    1.queue: (none) -> 16
";

const STATUS: &str = "\
version 1.2 (level 1, from the log)

RECORD             REVISION  hobart-a  hobart-b
route/bids         1.1       1/1       1/1
route/lots         1.1       1/1       1/1
service/catalogue  1.2       1/1       1/1
";

const MEMBERS: &str = "\
as http://DAEMON sees them

DATA CENTRE  DAEMON  SERVICE    STATE  SLOTS  POLICY
hobart-a     a1      catalogue  ready  10     -
hobart-b     b1      catalogue  ready  10     -
";

const EXPLAINED: &str = "\
daemon   a1
version  1.2
route    lots (schema 2)
service  catalogue
class    lookup
owner    none
chosen   a1
error    none

CANDIDATE  DATA CENTRE  STATE  ABLE  REASON
a1         hobart-a     ready  yes   able
b1         hobart-b     ready  yes   able
";

const RECORD: &str = r#"service/catalogue at revision 1.2
{
  "1": {
    "refs": [],
    "body": {
      "queue": 16
    }
  }
}
"#;

const HISTORY: &str = "\
OFFSET  CHANGE ID  AUTHOR    CHANGE                                   VERDICT
1       first      test      service/catalogue route/lots route/bids  accepted
2       second     operator  service/catalogue                        accepted
3       level      operator  raise level to 2                         accepted
";
