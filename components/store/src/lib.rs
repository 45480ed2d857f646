//! The border to the platform's store.
//!
//! [`Service`] keeps rows and lists VMs, [`Watch`] follows a part of the store,
//! [`PromotionService`] takes orders for promotions. Plug-ins register themselves by URL
//! scheme; all use one HTTP [`Client`].

mod client;
mod failure;
mod http;
mod service;

pub use client::{Client, Response};
pub use failure::Failure;
pub use service::{
    Changes, PromotionScheme, PromotionService, Scheme, Service, Watch, open,
    open_promotion_service,
};
