//! Loads that a run offers and variants that a run measures.

use config::Name;
use derive_more::Display;

/// Load of a run, with its fault if it has one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Load {
    /// Traffic of an ordinary day.
    #[display("steady")]
    Steady,
    /// Ten times the traffic of an ordinary day.
    #[display("month-end")]
    MonthEnd,
    /// The last customer, a small one, sends five times its rate.
    #[display("one-at-5x")]
    OneOverRate,
    /// The primary of the first service is killed several times.
    #[display("primary-lost")]
    PrimaryLost,
    /// Two regions cannot reach each other for half of the run.
    #[display("region-cut")]
    RegionCut,
    /// The platform's store is down for three quarters of the run.
    #[display("store-down")]
    StoreDown,
    /// Every VM is replaced by a new one in turn.
    #[display("rolling")]
    Rolling,
    /// The key of the last customer is withdrawn.
    #[display("key-withdrawn")]
    KeyWithdrawn,
    /// Ten release notes are applied.
    #[display("release-note")]
    ReleaseNote,
    /// Latency and throughput through the proxy, compared with a direct
    /// connection.
    #[display("overhead")]
    Overhead,
}

impl Load {
    /// All loads in the order of the report.
    pub const ALL: [Load; 10] = [
        Load::Steady,
        Load::MonthEnd,
        Load::OneOverRate,
        Load::PrimaryLost,
        Load::RegionCut,
        Load::StoreDown,
        Load::Rolling,
        Load::KeyWithdrawn,
        Load::ReleaseNote,
        Load::Overhead,
    ];
}

/// System that a run measures.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Variant {
    /// The proxy with its default plug-ins.
    #[display("ebonygauge")]
    Proxy,
    /// The proxy with reads at the primary, equal static budget shares and one
    /// FIFO queue.
    #[display("baseline")]
    Baseline,
    /// A direct connection without the proxy.
    #[display("direct")]
    Direct,
}

impl Variant {
    /// Plug-ins that the daemons use for the variant.
    pub fn policy(self) -> config::Policy {
        let name = |raw| Name::try_from(raw).expect("a plain literal");
        match self {
            Variant::Baseline => config::Policy {
                reads: name("primary"),
                admission: name("fifo"),
                budget: name("static"),
                ..config::Policy::default()
            },
            Variant::Proxy | Variant::Direct => config::Policy::default(),
        }
    }
}
