//! Names of customers, groups, instances, routes, VMs and others.

use std::{borrow, sync};

use derive_more::{Deref, Display};
use serde::{Deserialize, Serialize};

use crate::failure;

/// Longest name: the longest PostgreSQL identifier.
const MAX_NAME_BYTES: usize = 63;

/// A validated name of 1 to 63 characters out of `a-z A-Z 0-9 - _ .`; cheap to clone.
#[derive(
    Clone, Debug, Deref, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Name(sync::Arc<str>);

impl TryFrom<&str> for Name {
    type Error = failure::Problem;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.chars().all(is_allowed) {
            return Err(failure::Problem::BadName(raw.into()));
        }
        Ok(Self(raw.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = failure::Problem;

    fn try_from(raw: String) -> Result<Self, Self::Error> {
        Self::try_from(raw.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().into()
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
