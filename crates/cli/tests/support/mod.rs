//! Fake log and daemons, and a function that runs command lines against them.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use baobabreel_cli::commands::{CommandOutput, run};
use baobabreel_cli::context::{Context, Daemon, Log};
use baobabreel_client::log::{AppendError, ReadAnswer};
use baobabreel_client::operator::ExplainQuery;
use baobabreel_client::wire::{
    Appended, ExplainDoc, LogRecord, MemberDoc, ReadPage, RecordsDoc, RetainedRange, StatusDoc,
};
use eyre::{Result, bail, eyre};
use serde_json::{Value, json};

/// Fault that is injected into an append.
#[derive(Debug, Clone, Copy)]
pub enum AppendFault {
    /// The append takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost and has no effect.
    RequestLost,
    /// The log refuses the append.
    Refused,
}

/// State of a [`FakeLog`].
#[derive(Debug, Default)]
pub struct LogState {
    pub generation: u64,
    /// First offset of the configuration stream that is retained.
    pub first: u64,
    /// Whether reads fail.
    pub unreachable: bool,
    /// Faults of the next appends, in order.
    pub faults: VecDeque<AppendFault>,
    pub appends: usize,
    records: BTreeMap<String, Vec<String>>,
    /// Entry that another operator appends immediately before the next append.
    pub concurrent_entry: Option<String>,
}

/// An in-memory log with injectable faults.
#[derive(Debug, Clone)]
pub struct FakeLog(pub Rc<RefCell<LogState>>);

impl FakeLog {
    pub fn new() -> Self {
        let log_state = LogState { generation: 1, first: 1, ..LogState::default() };
        Self(Rc::new(RefCell::new(log_state)))
    }

    /// Appends a record and returns its offset.
    pub fn push_record(&self, stream: &str, text: &str) -> u64 {
        let mut log_state = self.0.borrow_mut();
        let records = log_state.records.entry(stream.to_owned()).or_default();
        records.push(text.to_owned());
        records.len() as u64
    }

    /// Number of configuration entries.
    pub fn len(&self) -> u64 {
        self.0.borrow().records.get("config").map_or(0, |records| records.len() as u64)
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, data: &str) -> Result<Appended, AppendError> {
        let concurrent_entry = self.0.borrow_mut().concurrent_entry.take();
        concurrent_entry.map(|entry| self.push_record(stream, &entry));
        let fault = {
            let mut log_state = self.0.borrow_mut();
            log_state.appends += 1;
            log_state.faults.pop_front()
        };
        match fault {
            Some(AppendFault::Refused) => {
                return Err(AppendError::Refused(eyre!("the log answered 503")));
            }
            Some(AppendFault::RequestLost) => return Err(AppendError::Unknown(eyre!("no answer"))),
            Some(AppendFault::AnswerLost) | None => {}
        }
        let offset = self.push_record(stream, data);
        if fault.is_some() {
            return Err(AppendError::Unknown(eyre!("no answer")));
        }
        let generation = self.0.borrow().generation;
        Ok(Appended { generation, offset })
    }

    async fn read(&self, stream: &str, from: u64, limit: usize) -> Result<ReadAnswer> {
        let log_state = self.0.borrow();
        if log_state.unreachable {
            bail!("failed to reach http://log");
        }
        let none = Vec::new();
        let records = log_state.records.get(stream).unwrap_or(&none);
        let generation = log_state.generation;
        let first = if stream == "config" { log_state.first } else { 1 };
        let next = records.len() as u64 + 1;
        if from < first {
            return Ok(ReadAnswer::Expired(RetainedRange { generation, first, next }));
        }
        let wanted = (1..).zip(records).filter(|(offset, _)| *offset >= from).take(limit);
        let record =
            |(offset, data): (u64, &String)| LogRecord { offset, time_ms: 0, data: data.clone() };
        let records = wanted.map(record).collect();
        Ok(ReadAnswer::Page(ReadPage { generation, first, next, records }))
    }
}

/// States of all daemons, as one daemon reports them.
pub type MeshAnswer = Vec<Result<StatusDoc, MemberDoc>>;

/// A daemon that gives the queued answers about the mesh in order and repeats the last one.
#[derive(Debug, Clone, Default)]
pub struct FakeDaemon {
    pub mesh_answers: Rc<RefCell<VecDeque<MeshAnswer>>>,
    pub unreachable: bool,
}

impl FakeDaemon {
    fn check_reachable(&self) -> Result<()> {
        if self.unreachable {
            bail!("failed to reach http://daemon");
        }
        Ok(())
    }
}

impl Daemon for FakeDaemon {
    fn url(&self) -> &str {
        "http://daemon"
    }

    async fn status(&self) -> Result<StatusDoc> {
        bail!("failed to reach http://daemon")
    }

    async fn mesh_status(&self) -> Result<Vec<Result<StatusDoc, MemberDoc>>> {
        self.check_reachable()?;
        let mut mesh_answers = self.mesh_answers.borrow_mut();
        let last = mesh_answers.len() == 1;
        let answer = if last { mesh_answers.front().cloned() } else { mesh_answers.pop_front() };
        answer.ok_or_else(|| eyre!("no mesh answer is queued"))
    }

    async fn records(&self) -> Result<RecordsDoc> {
        bail!("failed to reach http://daemon")
    }

    async fn members(&self) -> Result<Vec<MemberDoc>> {
        self.check_reachable()?;
        Ok(vec![member_doc("b-w1", "hobart-b", "suspect"), member_doc("a-w1", "hobart-a", "ready")])
    }

    async fn explain(&self, query: &ExplainQuery) -> Result<ExplainDoc> {
        self.check_reachable()?;
        let doc = json!({
            "daemon": "a-w1", "version": {"generation": 1, "offset": 2}, "route": "lots",
            "schema": 1, "service": "catalogue", "class": "lookup", "owner": query.key,
            "chosen": "a-w1", "candidates": [
                {"name": "a-w1", "data_centre": "hobart-a", "state": "ready", "able": true,
                 "reason": "lowest score"},
                {"name": "b-w1", "data_centre": "hobart-b", "state": "draining", "able": false,
                 "reason": "draining"}],
            "error": null,
        });
        Ok(serde_json::from_value(doc)?)
    }
}

pub fn member_doc(id: &str, data_centre: &str, state: &str) -> MemberDoc {
    let doc = json!({"id": id, "incarnation": 1, "data_centre": data_centre,
        "service": "catalogue", "peer_addr": "127.0.0.1:1", "state": state, "slots": 10});
    serde_json::from_value(doc).expect("a valid member document")
}

pub fn status_doc(id: &str, data_centre: &str, offset: u64) -> StatusDoc {
    let doc = json!({"daemon": id, "incarnation": 1, "data_centre": data_centre,
        "state": "ready", "serving": true, "version": {"generation": 1, "offset": offset},
        "digest": "", "level": 1, "max_schema": 2, "passed_over": [], "members": 2,
        "log": {"relay": false}});
    serde_json::from_value(doc).expect("a valid status document")
}

/// Output of a command line, with the progress lines printed while it ran.
#[derive(Debug)]
pub struct CommandResult {
    pub code: u8,
    pub stdout: String,
    pub stderr: String,
    pub progress: Vec<String>,
}

/// Runs a command line, which is split at spaces.
pub async fn run_cli(line: &str, log: Option<&FakeLog>, daemons: &[FakeDaemon]) -> CommandResult {
    let args: Vec<String> = line.split(' ').map(str::to_owned).collect();
    let lines = Rc::new(RefCell::new(Vec::new()));
    let output = run(&args, |_| {
        let lines = Rc::clone(&lines);
        Ok(Context {
            log: log.cloned(),
            daemons: daemons.to_vec(),
            new_id: Box::new(|| "new-id".to_owned()),
            progress: Box::new(move |line| lines.borrow_mut().push(line.to_owned())),
            poll_interval: Duration::ZERO,
        })
    });
    let CommandOutput { code, stdout, stderr } = output.await;
    let progress = lines.borrow().clone();
    CommandResult { code, stdout, stderr, progress }
}

/// Returns a change set as the text of a log entry.
pub fn change_set_entry(id: &str, expected: &Value, upserts: &Value) -> String {
    json!({"type": "change_set", "change_id": id, "author": "ana", "expected": expected,
           "upserts": upserts})
    .to_string()
}
