//! What the callers of a daemon may hold of its memory and of its connections.
//!
//! [`Ledger`] and [`Startups`] decide, without input or output. [`Intake`] owns the ledger
//! of a daemon; each session charges what it holds to its own [`Account`] and waits there
//! until memory is free.

mod account;
mod ledger;
mod startups;

pub use account::{Account, Intake};
pub use ledger::{Ledger, Owner};
pub use startups::{Admission, Startups};

/// Bytes of unread input that each session may hold without a charge. Sessions that send
/// smaller messages never wait for memory.
pub const FREE_BYTES: usize = 8 * 1024;
/// Copies of a message that exist while it is read, decoded and sent to an instance.
pub const COPIES: usize = 4;

/// Bytes to charge for a message or a kept text of this size.
pub const fn message_charge(size: usize) -> usize {
    if size > FREE_BYTES { size * COPIES } else { 0 }
}
