//! Operations of the commands: one function carries out one command.

mod change_file;
mod check;
mod diff;
mod explain;
mod get;
mod history;
mod log_view;
mod members;
mod mesh;
mod publish;
mod raise_level;
mod status;
mod submit;
mod wait;

pub use check::check;
pub use diff::diff;
pub use explain::explain;
pub use get::get;
pub use history::history;
pub use members::members;
pub use publish::publish;
pub use raise_level::raise_level;
pub use status::status;
