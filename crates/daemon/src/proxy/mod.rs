//! Data path.
//!
//! A request of a caller enters at any daemon, which matches a route, chooses a backend server and
//! hands the request to the daemon beside it. That daemon admits it and passes it to the backend
//! server. When the entry daemon is the one beside the chosen backend server, there is one hop less.

mod active;
mod answer;
mod balance;
mod body;
mod budgets;
mod check;
mod dispatch;
mod entry;
mod headers;
mod host;
mod keyed;
mod lines;
mod peer_call;
mod pool;
mod question;
mod replay;
mod request_body;
mod watch;

pub use active::ActiveCalls;
pub use answer::CallError;
pub use balance::Balance;
pub use body::{BodyError, ProxyBody};
pub use dispatch::candidate;
pub use entry::serve_caller;
pub use headers::{OUTCOME, TIMEOUT, has_token, section_bytes};
pub use host::{BackendInfo, Host, health_path};
pub use peer_call::{is_call, serve_peer_call};
pub use pool::{IdleLimit, PeerError, PeerPool, Protocol};
pub use question::ask_backend;
pub use request_body::{BodySender, RequestBody, body_pipe};
