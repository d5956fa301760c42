//! Distribution of log entries between daemons.
