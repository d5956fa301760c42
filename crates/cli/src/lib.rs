//! Command-line tool for operators.
//!
//! `commands` parses the arguments into one options struct per command. One function in `ops`
//! carries out each command and reaches everything outside the process through a
//! [`context::Context`].

pub mod commands;
pub mod context;
pub mod ops;
pub mod report;
pub mod settings;
