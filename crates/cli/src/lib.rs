//! The operators' command line.
//!
//! `commands` parses arguments into one options struct per command; each is carried out by one
//! function in `ops`, which gets everything outside the process through a [`context::Context`].

pub mod commands;
pub mod context;
pub mod ops;
pub mod report;
pub mod settings;
