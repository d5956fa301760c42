//! Child processes of tests: settings, ready line, output, signals and end.

mod output;
mod ports;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use rustix::process::Pid;
use serde_json::Value;
use tempfile::TempDir;
use tokio::process::{Child, Command};

use output::Output;
pub use output::{OutputLine, Source};
pub use ports::free_port;

/// Longest wait for the ready line, unless set.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Signals of process tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful end (SIGTERM).
    Terminate,
    /// Ends at once (SIGKILL).
    Kill,
    /// Pauses (SIGSTOP).
    Stop,
    /// Ends a pause (SIGCONT).
    Continue,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Terminate => Self::TERM,
            Signal::Kill => Self::KILL,
            Signal::Stop => Self::STOP,
            Signal::Continue => Self::CONT,
        }
    }
}

/// Settings of a [`ChildProcess`].
#[derive(Debug, Clone)]
pub struct ChildSettings {
    binary: PathBuf,
    args: Vec<OsString>,
    envs: Vec<(OsString, OsString)>,
    settings: Option<(String, String)>,
    ready_limit: Option<Duration>,
}

impl ChildSettings {
    /// Settings of a child that runs `binary`.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        ChildSettings {
            binary: binary.into(),
            args: Vec::new(),
            envs: Vec::new(),
            settings: None,
            ready_limit: Some(READY_LIMIT),
        }
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: impl Into<OsString>) -> Self {
        self.args.push(arg.into());
        self
    }

    /// Adds an environment variable.
    pub fn env(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Self {
        self.envs.push((name.into(), value.into()));
        self
    }

    /// Writes `text` to a file in a temporary folder, and appends `option` and its path to the
    /// arguments.
    pub fn settings(mut self, option: impl Into<String>, text: impl Into<String>) -> Self {
        self.settings = Some((option.into(), text.into()));
        self
    }

    /// Sets the longest wait for the ready line (default 30 s); without one, nothing is awaited.
    pub fn ready_limit(mut self, limit: Option<Duration>) -> Self {
        self.ready_limit = limit;
        self
    }
}

/// Running child; it is killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    pid: Pid,
    output: Output,
    folder: TempDir,
    ready: Value,
}

impl ChildProcess {
    /// Starts a child and waits for its ready line: a JSON object whose `event` or `message`, at the
    /// top or in `fields`, is `ready`.
    ///
    /// # Errors
    /// The child cannot be started, ends before it is ready, or is not ready in time.
    pub async fn start(settings: ChildSettings) -> eyre::Result<ChildProcess> {
        let folder = tempfile::tempdir().wrap_err("failed to create a temporary folder")?;
        let mut command = Command::new(&settings.binary);
        command.args(&settings.args).envs(settings.envs.iter().cloned());
        if let Some((option, text)) = &settings.settings {
            let path = folder.path().join("settings.jsonc");
            std::fs::write(&path, text).wrap_err("failed to write the settings")?;
            command.arg(option).arg(path);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command.kill_on_drop(true);
        let spawned = {
            let _no_probes = ports::no_probes();
            command.spawn()
        };
        let mut child =
            spawned.wrap_err_with(|| format!("failed to start {}", settings.binary.display()))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.ok_or_eyre("the child has no process id")?;
        let output = Output::read(child.stdout.take(), child.stderr.take());
        let mut child = ChildProcess { child, pid, output, folder, ready: Value::Null };
        if let Some(limit) = settings.ready_limit {
            let line = child.wait_for_line(limit, is_ready).await?;
            child.ready = line.json().unwrap_or_default();
        }
        Ok(child)
    }

    /// Process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Temporary folder of the child, which is removed with it.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Text of a field of the ready line, at the top or in `fields`.
    pub fn ready_field(&self, name: &str) -> Option<&str> {
        field(&self.ready, name)?.as_str()
    }

    /// Lines that the child has written so far.
    pub fn lines(&self) -> Vec<OutputLine> {
        self.output.lines()
    }

    /// Waits for a line, also among those already written.
    ///
    /// # Errors
    /// The child closes its output first, or `limit` is over; the error holds the output.
    pub async fn wait_for_line(
        &self,
        limit: Duration,
        matches: impl Fn(&OutputLine) -> bool,
    ) -> eyre::Result<OutputLine> {
        self.output.wait_for(limit, matches).await
    }

    /// Sends a signal to this child only.
    ///
    /// # Errors
    /// The child has ended.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        // The id of a child that was waited for may belong to another process by now.
        eyre::ensure!(self.child.id().is_some(), "failed to send {signal:?}: the child has ended");
        rustix::process::kill_process(self.pid, signal.into())
            .wrap_err_with(|| format!("failed to send {signal:?} to {}", self.pid()))
    }

    /// Waits for the end of the child.
    ///
    /// # Errors
    /// It is still running after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        tokio::time::timeout(limit, self.child.wait())
            .await
            .wrap_err_with(|| format!("failed to wait: the child runs after {limit:?}"))?
            .wrap_err("failed to wait for the child")
    }
}

fn field<'v>(line: &'v Value, name: &str) -> Option<&'v Value> {
    line.get(name).or_else(|| line.get("fields")?.get(name))
}

fn is_ready(line: &OutputLine) -> bool {
    let Some(line) = line.json() else {
        return false;
    };
    ["event", "message"].iter().any(|name| field(&line, name).is_some_and(|text| text == "ready"))
}

/// Path of a binary or example of this workspace, in the target folder of the running test.
///
/// # Errors
/// It has not been built; cargo builds binaries and examples only with the tests of their own
/// package or of the whole workspace.
pub fn target_binary(name: &str) -> eyre::Result<PathBuf> {
    let exe = std::env::current_exe().wrap_err("failed to find the running test")?;
    let folder = exe.parent().and_then(Path::parent).ok_or_eyre("the test has no target folder")?;
    [folder.join(name), folder.join("examples").join(name)]
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| eyre::eyre!("failed to find {name} in {}", folder.display()))
}
