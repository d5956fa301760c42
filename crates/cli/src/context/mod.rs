//! Interfaces to everything outside the process that operations use.

use std::fmt;
use std::time::Duration;

use baobabreel_client::log::{AppendError, LogClient, ReadAnswer};
use baobabreel_client::operator::{ExplainQuery, OperatorClient};
use baobabreel_client::transport::HttpClient;
use baobabreel_client::wire::{Appended, ExplainDoc, MemberDoc, RecordsDoc, StatusDoc};
use baobabreel_core::id::{ChangeId, Offset};
use eyre::{Result, WrapErr};

use crate::commands::CommonOptions;

/// Time between two polls of the daemons, or between two attempts to append to the log.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Client of the platform's log.
pub trait Log {
    /// Appends a record; see [`LogClient::append`].
    fn append(
        &self,
        stream: &str,
        data: &str,
    ) -> impl Future<Output = Result<Appended, AppendError>>;

    /// Reads the records present now, without waiting for new ones; see [`LogClient::read`].
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
    ) -> impl Future<Output = Result<ReadAnswer>>;
}

/// Client of the operator endpoints of one daemon.
pub trait Daemon {
    /// Returns the address, for messages.
    fn url(&self) -> &str;

    /// Returns the state of the daemon itself.
    fn status(&self) -> impl Future<Output = Result<StatusDoc>>;

    /// Returns the states of all daemons as this daemon collects them.
    ///
    /// A member that it cannot reach is an `Err` with its member entry.
    fn mesh_status(&self) -> impl Future<Output = Result<Vec<Result<StatusDoc, MemberDoc>>>>;

    /// Returns the records of the daemon's configuration.
    fn records(&self) -> impl Future<Output = Result<RecordsDoc>>;

    /// Returns the members that the daemon knows.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberDoc>>>;

    /// Returns how the daemon would route a request.
    fn explain(&self, query: &ExplainQuery) -> impl Future<Output = Result<ExplainDoc>>;
}

impl Log for LogClient {
    async fn append(&self, stream: &str, data: &str) -> Result<Appended, AppendError> {
        Self::append(self, stream, data).await
    }

    async fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<ReadAnswer> {
        Self::read(self, stream, from, limit, Duration::ZERO).await
    }
}

impl Daemon for OperatorClient {
    fn url(&self) -> &str {
        Self::url(self)
    }

    async fn status(&self) -> Result<StatusDoc> {
        Self::status(self).await
    }

    async fn mesh_status(&self) -> Result<Vec<Result<StatusDoc, MemberDoc>>> {
        Self::mesh_status(self).await
    }

    async fn records(&self) -> Result<RecordsDoc> {
        Self::records(self).await
    }

    async fn members(&self) -> Result<Vec<MemberDoc>> {
        Self::members(self).await
    }

    async fn explain(&self, query: &ExplainQuery) -> Result<ExplainDoc> {
        Self::explain(self, query).await
    }
}

/// Clients and callbacks of an operation.
pub struct Context<L, D> {
    /// Log, if its address is given.
    pub log: Option<L>,
    /// Daemons whose addresses are given.
    pub daemons: Vec<D>,
    /// Generates a change identifier.
    pub new_id: Box<dyn Fn() -> ChangeId>,
    /// Prints a progress line while the operation runs.
    pub progress: Box<dyn Fn(&str)>,
    /// Time between two polls of the daemons, or between two attempts to append to the log.
    pub poll_interval: Duration,
}

impl<L, D> fmt::Debug for Context<L, D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("log", &self.log.is_some())
            .field("daemons", &self.daemons.len())
            .finish_non_exhaustive()
    }
}

/// Makes the context for the given addresses; no connection is opened yet.
///
/// # Errors
///
/// The token file cannot be read.
pub fn connect(common: &CommonOptions) -> Result<Context<LogClient, OperatorClient>> {
    let http = HttpClient::new().with_name("baobabreel");
    let token = common.token_file.as_ref().map(|file| {
        let text = std::fs::read_to_string(file);
        text.wrap_err_with(|| format!("failed to read the token file `{file}`"))
    });
    let token = token.transpose()?.map(|text| text.trim().to_owned());
    let operators = http.clone().with_token(token);
    let daemons = common.daemons.iter();
    Ok(Context {
        log: common.log.as_ref().map(|url| LogClient::new(http, url)),
        daemons: daemons.map(|url| OperatorClient::new(operators.clone(), url)).collect(),
        new_id: Box::new(|| format!("{:032x}", rand::random::<u128>())),
        progress: Box::new(|line| eprintln!("{line}")),
        poll_interval: POLL_INTERVAL,
    })
}
