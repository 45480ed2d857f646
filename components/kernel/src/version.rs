//! Versions of the platform's store.
//!
//! The store numbers its transactions with one counter. If the store comes back from
//! an older copy, the counter goes back too, and the store gives numbers out again: a
//! number alone names one write in each era. A [`Version`] names the era as well, so
//! versions are unique and grow for as long as the store exists.
//!
//! The kernel, messages and fencing tokens hold a version as one integer, which
//! compares in the same way. A row keeps the version at which it was written when
//! the store is restored; a row written later has a higher one, whatever its number.

use derive_more::Display;

/// Bits of the integer that hold the number.
const NUMBER_BITS: u32 = 40;
/// Bits of the integer that hold the era. Together with the number they fit into an
/// integer that JSON parsers read exactly.
const ERA_BITS: u32 = 13;

/// An era of the store, and the number of a transaction in it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{era}.{number}")]
pub struct Version {
    era: u64,
    number: u64,
}

/// Error for an era or a number that a version cannot hold.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("version {number} of era {era} is out of range")]
pub struct OutOfRange {
    era: u64,
    number: u64,
}

impl Version {
    /// Era of the store.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Number of the transaction; 0 names a row that does not exist.
    pub fn number(self) -> u64 {
        self.number
    }
}

impl TryFrom<(u64, u64)> for Version {
    type Error = OutOfRange;

    fn try_from((era, number): (u64, u64)) -> Result<Self, Self::Error> {
        if era >> ERA_BITS != 0 || number >> NUMBER_BITS != 0 {
            return Err(OutOfRange { era, number });
        }
        Ok(Self { era, number })
    }
}

impl From<u64> for Version {
    fn from(packed: u64) -> Self {
        Self {
            era: packed >> NUMBER_BITS,
            number: packed & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl From<Version> for u64 {
    fn from(version: Version) -> Self {
        version.era << NUMBER_BITS | version.number
    }
}
