//! Errors that the proxy returns to callers.
//!
//! A [`Refusal`] carries the SQLSTATE, whether the request was executed, and a
//! retry hint. `not run` is a guarantee: the proxy reports `not run` only if no
//! byte of the request reached a database, or if the database itself refused
//! the request before execution.

mod refusal;

pub use refusal::{Cause, Executed, Refusal};
