//! Settings of one daemon.

use std::{collections, net, path, time};

use crate::name;

/// Certificate files for callers.
#[derive(Clone, Debug)]
pub struct Tls {
    /// PEM chain.
    pub certificate: path::PathBuf,
    /// PEM private key.
    pub key: path::PathBuf,
}

/// The proxy's own login at the databases.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Role name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Bounds on callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest message of a caller, in bytes.
    pub message_bytes: usize,
    /// Sessions at once.
    pub max_sessions: usize,
    /// Time for the start-up exchange.
    pub startup_timeout: time::Duration,
    /// Time that a transaction may stay idle.
    pub idle_timeout: time::Duration,
    /// Time that a request may wait for a connection.
    pub wait_timeout: time::Duration,
    /// Requests of one customer that may wait.
    pub queue_length: usize,
    /// Requests beyond rate and burst that the users tolerate in a window.
    pub burst_tolerance: u32,
    /// Part of rate and burst by which they may be exceeded, in percent.
    pub overage_percent: u32,
}

/// Periods of the control plane.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Validity of a term confirmation, from the sending of its poll.
    pub lease: time::Duration,
    /// Longest time between two polls of an instance.
    pub poll_period: time::Duration,
    /// Silence of a primary after which it is suspected.
    pub suspicion_timeout: time::Duration,
    /// Period of the exchange with peers.
    pub gossip_period: time::Duration,
    /// Time without confirmation after which keyed requests are refused.
    pub refusal_timeout: time::Duration,
    /// Period of reads of the platform's rows and VM list.
    pub platform_period: time::Duration,
    /// Longest graceful stop.
    pub stop_timeout: time::Duration,
    /// Part of the stop in which callers are still served, so that balancers
    /// notice first that the daemon is not ready.
    pub leave_period: time::Duration,
    /// Time for which a leaving instance may still get new transactions.
    pub drain_timeout: time::Duration,
    /// Period of looks at what is due.
    pub tick_period: time::Duration,
    /// That period while nothing waits.
    pub idle_period: time::Duration,
}

/// Names of the plug-ins that decide.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Choice of the instance for a read.
    pub reads: name::Name,
    /// Order of waiting requests.
    pub admission: name::Name,
    /// Movement of shares between VMs.
    pub budget: name::Name,
    /// Who says which instance of a group leads.
    pub arbiter: name::Name,
}

impl Default for Policy {
    fn default() -> Self {
        let name = |raw| name::Name::try_from(raw).expect("a plain literal");
        Self {
            reads: name("replica"),
            admission: name("fair"),
            budget: name("borrow"),
            arbiter: name("instances"),
        }
    }
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: name::Name,
    /// Source address of outgoing connections.
    pub source_address: net::IpAddr,
    /// Failure domain of this VM.
    pub domain: name::Name,
    /// Region of this VM.
    pub region: name::Name,
    /// Where callers connect.
    pub listen_address: net::SocketAddr,
    /// Where peers connect.
    pub peer_address: net::SocketAddr,
    /// Where operators and probes connect.
    pub admin_address: net::SocketAddr,
    /// Region of each failure domain, where the platform tells it.
    pub domain_regions: collections::BTreeMap<name::Name, name::Name>,
    /// Base URL of the platform's service.
    pub platform_url: String,
    /// Base URL of the service that takes orders for promotions, if there is one.
    pub promotion_url: Option<String>,
    /// Protocol of callers and databases.
    pub dialect: name::Name,
    /// Login at the databases.
    pub credentials: Credentials,
    /// TLS for callers, if offered.
    pub tls: Option<Tls>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Periods of the control plane.
    pub timing: Timing,
    /// Plug-ins that decide.
    pub policy: Policy,
    /// Log level.
    pub log_level: name::Name,
}
