//! Messages between daemons over `capnp-rpc`.
//!
//! One thread runs all connections to and from peers on a single-threaded executor.
//! [`Handle::send`] never blocks. A message that cannot be sent soon is dropped, for
//! example if a queue is full: the protocol tolerates the loss of any message.

mod codec;
mod failure;
mod link;
mod node;
#[allow(clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
mod peer_capnp;

pub use codec::encoded_size;
pub use failure::Failure;
pub use node::{Handle, MessageHandler, start};
