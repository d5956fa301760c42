//! Memory and connections of callers: which connection may read on, which request is refused, and which connection
//! is closed.
//!
//! A caller that sends requests ahead and reads no responses holds memory of the daemon. All connections share one
//! total. The part of a connection shrinks as the total fills up (a dynamic threshold, as for the buffers of a switch):
//! one busy connection among quiet ones may send far ahead, and each of many only a little. A connection without a
//! request in progress may always read one, so that an ordinary caller is never held up by others.

mod budget;

pub use budget::{Admission, CallerBudget, CallerLimits, ConnectionId};
