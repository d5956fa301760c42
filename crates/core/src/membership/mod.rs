//! Members of the mesh and their states.
//!
//! There is no list of backend servers: each announces itself to the daemon beside it, and daemons
//! tell each other about themselves.

mod member;

pub use member::{Member, MemberState, Members};
