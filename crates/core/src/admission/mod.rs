//! Slots and the bounded queue beside a backend server.
