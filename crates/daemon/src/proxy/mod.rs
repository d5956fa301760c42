//! Request path from callers to backend servers.
//!
//! A caller sends its request to any daemon (the entry daemon), which matches a route, chooses a
//! backend server and forwards the request to the daemon that runs next to it (the host daemon). The
//! host daemon admits the request and passes it to the backend server. There is one hop less when
//! both are the same daemon.

mod active;
mod balance;
mod body;
mod budgets;
mod call_error;
mod call_wait;
mod caller_request;
mod dispatch;
mod entry;
mod headers;
mod host;
mod keyed;
mod lease;
mod lines;
mod link;
mod peer_body;
mod peer_call;
mod place;
mod pool;
mod quarantine;
mod question;
mod quota;
mod request_body;
mod response_check;
mod sends;

pub use active::ActiveCalls;
pub use balance::Balancers;
pub use body::{BodyError, ProxyBody, STREAMED_BYTES};
pub use call_error::CallError;
pub use dispatch::candidate;
pub use entry::{CallerAddress, RequestsAhead, ToldCallers, UsesLink, serve_caller};
pub use headers::{OUTCOME, TIMEOUT, has_token, held_section_bytes, section_bytes};
pub use host::{BackendInfo, LocalBackend, health_path, start_at_rate_limit, take_back_slots};
pub use lines::{log_undelivered, request_id};
pub use link::{BODY_GRANT_PATH, Links, answer_body_query, watch_link};
pub use peer_call::{is_call, refuse_peer_call, serve_peer_call};
pub use pool::{IdleLimit, PeerError, PeerPool, Protocol};
pub use quarantine::{Quarantine, Share};
pub use question::{HealthAnswer, ask_backend};
pub use quota::{QuotaState, Quotas, log_limited, quota_of};
pub use request_body::{BodySender, BodyWatch, RequestBody, body_pipe};
