//! Fold of the log's stream of members.
