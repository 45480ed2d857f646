//! Loads and variants.

use config::Name;
use derive_more::Display;

/// What happens during a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Load {
    /// An ordinary day.
    #[display("steady")]
    Steady,
    /// Ten times an ordinary day.
    #[display("month-end")]
    MonthEnd,
    /// One small customer at five times its rate.
    #[display("one-at-5x")]
    OneAtFive,
    /// The primary of the first service dies, several times.
    #[display("primary-lost")]
    PrimaryLost,
    /// The regions lose each other for a while.
    #[display("region-cut")]
    RegionCut,
    /// The platform's store is down.
    #[display("store-down")]
    StoreDown,
    /// Every VM is replaced.
    #[display("rolling")]
    Rolling,
    /// A key is withdrawn.
    #[display("key-withdrawn")]
    KeyWithdrawn,
    /// Release notes are applied.
    #[display("release-note")]
    ReleaseNote,
    /// One session at a time, against a direct connection.
    #[display("overhead")]
    Overhead,
}

impl Load {
    /// All loads in the order of the report.
    pub const ALL: [Load; 10] = [
        Load::Steady,
        Load::MonthEnd,
        Load::OneAtFive,
        Load::PrimaryLost,
        Load::RegionCut,
        Load::StoreDown,
        Load::Rolling,
        Load::KeyWithdrawn,
        Load::ReleaseNote,
        Load::Overhead,
    ];
}

/// What is measured.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Variant {
    /// The proxy as it is.
    #[display("ebonygauge")]
    Product,
    /// Reads at the primary, equal static shares, one queue.
    #[display("baseline")]
    Baseline,
    /// Without the proxy.
    #[display("direct")]
    Direct,
}

impl Variant {
    /// Plug-ins of the variant.
    pub fn policy(self) -> config::Policy {
        let name = |raw| Name::try_from(raw).expect("a plain literal");
        match self {
            Variant::Baseline => config::Policy {
                reads: name("primary"),
                admission: name("fifo"),
                budget: name("static"),
                ..config::Policy::default()
            },
            Variant::Product | Variant::Direct => config::Policy::default(),
        }
    }
}
