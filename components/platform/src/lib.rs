//! The platform's table service and VM list.
//!
//! [`Service`] is the border; plug-ins register themselves by URL scheme.

mod failure;
mod http;
mod service;

pub use failure::Failure;
pub use service::{Scheme, Service, open};
