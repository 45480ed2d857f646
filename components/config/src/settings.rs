//! Settings of a daemon.

use std::{collections, net, path, time};

use crate::name;

/// Certificate files for TLS with callers.
#[derive(Clone, Debug)]
pub struct Tls {
    /// Certificate chain in PEM format.
    pub certificate: path::PathBuf,
    /// Private key in PEM format.
    pub key: path::PathBuf,
}

/// The proxy's login at the databases.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Role name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Limits on callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest message of a caller.
    pub message_bytes: usize,
    /// Concurrent sessions.
    pub max_sessions: usize,
    /// Time for the startup of a session.
    pub startup_timeout: time::Duration,
    /// Time for which a transaction may stay idle.
    pub idle_timeout: time::Duration,
    /// Time for which a request may wait for a connection.
    pub wait_timeout: time::Duration,
    /// Requests of one customer that may wait at once.
    pub queue_length: usize,
    /// Requests above a customer's rate and burst that are tolerated in a window.
    pub burst_tolerance: u32,
    /// Part of its rate and burst by which a customer may exceed them, in millionths.
    pub overage_ppm: u32,
}

/// Limits on what callers may take of the process.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Memory of the process.
    pub memory_bytes: usize,
    /// Time in which a message, once begun, must be complete.
    pub receive_timeout: time::Duration,
    /// Time for which a caller may leave an answer unread.
    pub send_timeout: time::Duration,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            memory_bytes: 4 << 30,
            receive_timeout: time::Duration::from_secs(30),
            send_timeout: time::Duration::from_secs(30),
        }
    }
}

/// Periods and timeouts of the control plane.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Validity of the confirmation of a term, counted from the time its poll was sent.
    pub lease: time::Duration,
    /// Longest time between two polls of an instance.
    pub poll_period: time::Duration,
    /// Time without an answer of a primary after which it is suspected.
    pub suspicion_timeout: time::Duration,
    /// Period of the gossip with peers.
    pub gossip_period: time::Duration,
    /// Time without a confirmed configuration after which requests with a key are refused.
    pub refusal_timeout: time::Duration,
    /// Period of the reads of the platform's rows and VM list.
    pub platform_period: time::Duration,
    /// Longest duration of a graceful stop.
    pub stop_timeout: time::Duration,
    /// Time at the start of the stop in which the daemon still serves callers, so
    /// that load balancers see that it is not ready before it refuses any.
    pub leave_period: time::Duration,
    /// Time for which a leaving instance may still get new transactions.
    pub drain_timeout: time::Duration,
    /// Time after which an open transaction at an instance whose failure domain was
    /// evacuated may run no further statement.
    pub evacuation_timeout: time::Duration,
    /// Period of the checks for work that is due.
    pub tick_period: time::Duration,
    /// Period of these checks while no request waits.
    pub idle_period: time::Duration,
}

/// Names of the policies, each implemented by a plug-in.
#[derive(Clone, Debug)]
pub struct Policy {
    /// How the instance for a read is chosen.
    pub reads: name::Name,
    /// In which order waiting requests are admitted.
    pub admission: name::Name,
    /// How shares of the budgets move between VMs.
    pub budget: name::Name,
    /// What decides which instance of a group is the primary.
    pub arbiter: name::Name,
}

impl Default for Policy {
    fn default() -> Self {
        let name = |raw| name::Name::try_from(raw).expect("a valid name");
        Self {
            reads: name("replica"),
            admission: name("fair"),
            budget: name("borrow"),
            arbiter: name("instances"),
        }
    }
}

/// Validated settings.
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
    /// Address for callers.
    pub listen_address: net::SocketAddr,
    /// Address for peers.
    pub peer_address: net::SocketAddr,
    /// Address for operators and health probes.
    pub admin_address: net::SocketAddr,
    /// Region of each failure domain, for failure domains whose region is known.
    pub domain_regions: collections::BTreeMap<name::Name, name::Name>,
    /// Base URL of the platform service.
    pub platform_url: String,
    /// Base URL of the service that takes promotion requests, if there is one.
    pub promotion_url: Option<String>,
    /// Protocol spoken with callers and databases.
    pub dialect: name::Name,
    /// Login at the databases.
    pub credentials: Credentials,
    /// TLS for callers, if offered.
    pub tls: Option<Tls>,
    /// Limits on callers.
    pub limits: Limits,
    /// Limits on what callers may take of the process.
    pub intake: Intake,
    /// Periods and timeouts of the control plane.
    pub timing: Timing,
    /// Policies, by name.
    pub policy: Policy,
    /// Log level.
    pub log_level: name::Name,
}
