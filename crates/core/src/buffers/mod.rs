//! Buffers for the long bodies of calls between daemons.
//!
//! The HTTP library reads ahead of a body that is passed on, and holds what its receiver does not take. So only as many
//! long bodies are passed on at once as there are buffers; the others wait unread. Buffers of clients that lag are
//! taken back while others wait for one.
//!
//! Bodies of requests and of responses have a [`BufferTable`] each. A request waits for its buffer before it waits for
//! a slot, and a response waits for one while it holds a slot, so in a single table they could wait for each other.

mod table;

pub use table::BufferTable;
