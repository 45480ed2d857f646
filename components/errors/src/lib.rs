//! Failures that a caller can see.
//!
//! A [`Refusal`] carries the SQLSTATE, whether the request ran, and a retry
//! hint. `not run` is a promise: it is given only where no byte of the request
//! reached a database, or where the database itself refused before execution.

mod refusal;

pub use refusal::{Cause, Executed, Refusal};
