//! Digests of customers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::failure;

/// SHA-256 digest of a key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key that a caller presents.
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = failure::Problem;

    fn try_from(raw: String) -> Result<Self, Self::Error> {
        if raw.len() != 64 || !raw.is_ascii() {
            return Err(failure::Problem::BadDigest);
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &raw[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| failure::Problem::BadDigest)?;
        }
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
