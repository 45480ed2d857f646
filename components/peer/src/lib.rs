//! Messages between daemons over `capnp-rpc`.
//!
//! One control thread runs all connections on a single-threaded executor. The
//! callers of [`Handle::send`] never wait: a message that cannot be sent soon
//! is dropped, as every message may be lost.

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
