//! Fakes of the log and of daemons, and a way to run command lines against them.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use baobabreel_cli::commands::{Printed, run};
use baobabreel_cli::context::{Context, Daemon, Log};
use baobabreel_client::log::{AppendError, ReadAnswer};
use baobabreel_client::operator::ExplainQuery;
use baobabreel_client::wire::{
    Appended, ExplainDoc, LogRecord, MemberDoc, ReadPage, RecordsDoc, RetainedRange, StatusDoc,
};
use eyre::{Result, bail, eyre};
use serde_json::{Value, json};

/// What happens to an append.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost on the way.
    RequestLost,
    /// It is refused.
    Refused,
}

#[derive(Debug, Default)]
pub struct Streams {
    pub generation: u64,
    pub first: u64,
    pub down: bool,
    pub faults: VecDeque<Fault>,
    pub appends: usize,
    records: BTreeMap<String, Vec<String>>,
    /// Entry that another operator appends just before the next append.
    pub racer: Option<String>,
}

#[derive(Debug, Clone)]
pub struct FakeLog(pub Rc<RefCell<Streams>>);

impl FakeLog {
    pub fn new() -> Self {
        let streams = Streams { generation: 1, first: 1, ..Streams::default() };
        Self(Rc::new(RefCell::new(streams)))
    }

    pub fn put(&self, stream: &str, text: &str) -> u64 {
        let mut streams = self.0.borrow_mut();
        let records = streams.records.entry(stream.to_owned()).or_default();
        records.push(text.to_owned());
        records.len() as u64
    }

    pub fn len(&self) -> u64 {
        self.0.borrow().records.get("config").map_or(0, |records| records.len() as u64)
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, data: &str) -> Result<Appended, AppendError> {
        let racer = self.0.borrow_mut().racer.take();
        racer.map(|racer| self.put(stream, &racer));
        let fault = {
            let mut streams = self.0.borrow_mut();
            streams.appends += 1;
            streams.faults.pop_front()
        };
        match fault {
            Some(Fault::Refused) => {
                return Err(AppendError::Refused(eyre!("the log answered 503")));
            }
            Some(Fault::RequestLost) => return Err(AppendError::Unknown(eyre!("no answer"))),
            Some(Fault::AnswerLost) | None => {}
        }
        let offset = self.put(stream, data);
        if fault.is_some() {
            return Err(AppendError::Unknown(eyre!("no answer")));
        }
        let generation = self.0.borrow().generation;
        Ok(Appended { generation, offset })
    }

    async fn read(&self, stream: &str, from: u64, limit: usize) -> Result<ReadAnswer> {
        let streams = self.0.borrow();
        if streams.down {
            bail!("failed to reach http://log");
        }
        let none = Vec::new();
        let records = streams.records.get(stream).unwrap_or(&none);
        let generation = streams.generation;
        let first = if stream == "config" { streams.first } else { 1 };
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

/// Answer of a daemon about the mesh.
pub type Look = Vec<Result<StatusDoc, MemberDoc>>;

/// A daemon whose answers about the mesh follow one another; the last one stays.
#[derive(Debug, Clone, Default)]
pub struct FakeDaemon {
    pub looks: Rc<RefCell<VecDeque<Look>>>,
    pub down: bool,
}

impl FakeDaemon {
    fn up(&self) -> Result<()> {
        if self.down {
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
        self.up()?;
        let mut looks = self.looks.borrow_mut();
        let last = looks.len() == 1;
        let look = if last { looks.front().cloned() } else { looks.pop_front() };
        look.ok_or_else(|| eyre!("no look is set"))
    }

    async fn records(&self) -> Result<RecordsDoc> {
        bail!("failed to reach http://daemon")
    }

    async fn members(&self) -> Result<Vec<MemberDoc>> {
        self.up()?;
        Ok(vec![member("b-w1", "hobart-b", "suspect"), member("a-w1", "hobart-a", "ready")])
    }

    async fn explain(&self, query: &ExplainQuery) -> Result<ExplainDoc> {
        self.up()?;
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

pub fn member(id: &str, data_centre: &str, state: &str) -> MemberDoc {
    let doc = json!({"id": id, "incarnation": 1, "data_centre": data_centre,
        "service": "catalogue", "peer_addr": "127.0.0.1:1", "state": state, "slots": 10});
    serde_json::from_value(doc).expect("a member")
}

pub fn status(id: &str, data_centre: &str, offset: u64) -> StatusDoc {
    let doc = json!({"daemon": id, "incarnation": 1, "data_centre": data_centre,
        "state": "ready", "serving": true, "version": {"generation": 1, "offset": offset},
        "digest": "", "level": 1, "max_schema": 2, "passed_over": [], "members": 2,
        "log": {"relay": false}});
    serde_json::from_value(doc).expect("a status")
}

/// Result of a command line, with the lines printed while it went on.
#[derive(Debug)]
pub struct Ran {
    pub code: u8,
    pub stdout: String,
    pub stderr: String,
    pub progress: Vec<String>,
}

/// Runs a command line, split at spaces.
pub async fn cli(line: &str, log: Option<&FakeLog>, daemons: &[FakeDaemon]) -> Ran {
    let args: Vec<String> = line.split(' ').map(str::to_owned).collect();
    let lines = Rc::new(RefCell::new(Vec::new()));
    let printed = run(&args, |_| {
        let lines = Rc::clone(&lines);
        Ok(Context {
            log: log.cloned(),
            daemons: daemons.to_vec(),
            new_id: Box::new(|| "new-id".to_owned()),
            progress: Box::new(move |line| lines.borrow_mut().push(line.to_owned())),
            pause: Duration::ZERO,
        })
    });
    let Printed { code, stdout, stderr } = printed.await;
    let progress = lines.borrow().clone();
    Ran { code, stdout, stderr, progress }
}

/// Text of a change set.
pub fn entry(id: &str, expected: &Value, upserts: &Value) -> String {
    json!({"type": "change_set", "change_id": id, "author": "ana", "expected": expected,
           "upserts": upserts})
    .to_string()
}
