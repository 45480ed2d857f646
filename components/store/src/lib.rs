//! Interface between the daemon and the platform that hosts its VMs.
//!
//! [`Service`] reads and writes versioned rows and lists VMs, [`Watch`] streams
//! the changes of one part of the store, and [`PromotionService`] promotes
//! instances. Plug-ins implement these traits and register themselves by URL
//! scheme; all plug-ins use the HTTP [`Client`].

mod client;
mod failure;
mod http;
mod service;
mod transport;

pub use client::{Client, Response};
pub use failure::Failure;
pub use service::{
    Changes, PromotionScheme, PromotionService, Scheme, Service, Watch, open,
    open_promotion_service,
};
pub use transport::Validity;
