//! Output of a child process.

use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{ChildStderr, ChildStdout};
use tokio::sync::watch;

/// Lines at the start, and at the end, of the output that an error shows.
const LINES_IN_ERROR: usize = 30;

/// Stream that a line was written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Line that a child has written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputLine {
    /// Stream of the line.
    pub source: Source,
    /// Text without the line end.
    pub text: String,
}

impl OutputLine {
    /// The line as JSON, if it is that.
    pub fn json(&self) -> Option<Value> {
        serde_json::from_str(&self.text).ok()
    }
}

/// Reader of both streams; its receiver sees an error once both are closed.
#[derive(Debug)]
pub(super) struct Output(watch::Receiver<Vec<OutputLine>>);

impl Output {
    pub(super) fn read(stdout: Option<ChildStdout>, stderr: Option<ChildStderr>) -> Self {
        let (lines, rx) = watch::channel(Vec::new());
        if let Some(stdout) = stdout {
            tokio::spawn(read_lines(stdout, Source::Stdout, lines.clone()));
        }
        if let Some(stderr) = stderr {
            tokio::spawn(read_lines(stderr, Source::Stderr, lines));
        }
        Output(rx)
    }

    pub(super) fn lines(&self) -> Vec<OutputLine> {
        self.0.borrow().clone()
    }

    pub(super) async fn wait_for(
        &self,
        limit: Duration,
        matches: impl Fn(&OutputLine) -> bool,
    ) -> eyre::Result<OutputLine> {
        let mut rx = self.0.clone();
        let mut found = None;
        let mut seen = 0;
        let wait = rx.wait_for(|lines| {
            found = lines[seen..].iter().find(|line| matches(line)).cloned();
            seen = lines.len();
            found.is_some()
        });
        let failure = match tokio::time::timeout(limit, wait).await {
            Ok(Ok(_)) => None,
            Ok(Err(_)) => Some("the child closed its output".to_owned()),
            Err(_) => Some(format!("it was not written within {limit:?}")),
        };
        match (failure, found) {
            (None, Some(line)) => Ok(line),
            (failure, _) => {
                let failure = failure.unwrap_or_default();
                eyre::bail!("failed to wait for a line: {failure}; output:\n{}", self.excerpt())
            }
        }
    }

    /// First and last lines; an error may stand before a long backtrace.
    fn excerpt(&self) -> String {
        let lines = self.0.borrow();
        let texts: Vec<&str> = lines.iter().map(|line| line.text.as_str()).collect();
        if texts.len() <= 2 * LINES_IN_ERROR {
            return texts.join("\n");
        }
        let (head, rest) = texts.split_at(LINES_IN_ERROR);
        let (left_out, tail) = rest.split_at(rest.len() - LINES_IN_ERROR);
        let (head, tail) = (head.join("\n"), tail.join("\n"));
        format!("{head}\n({} lines left out)\n{tail}", left_out.len())
    }
}

async fn read_lines(
    stream: impl AsyncRead + Unpin,
    source: Source,
    output: watch::Sender<Vec<OutputLine>>,
) {
    let mut reader = BufReader::new(stream);
    let mut buf = Vec::new();
    while matches!(reader.read_until(b'\n', &mut buf).await, Ok(length) if length > 0) {
        let text = String::from_utf8_lossy(&buf).trim_end_matches(['\r', '\n']).to_owned();
        output.send_modify(|lines| lines.push(OutputLine { source, text }));
        buf.clear();
    }
}
