//! Plan of a cluster: its VMs, groups, customers, routes and delays.

use std::{fmt::Write, net, time};

/// One VM.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
}

/// One group, with one instance at each site.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Name.
    pub name: String,
    /// Failure domain and region of each instance; the first instance starts as
    /// the primary.
    pub sites: Vec<(String, String)>,
    /// Connections that each instance accepts.
    pub connections: u32,
    /// Statements that each instance executes at once.
    pub slots: usize,
    /// Execution time of a statement.
    pub statement_time: time::Duration,
    /// Time to open a connection.
    pub connect_time: time::Duration,
    /// Durability of the group: `majority` or `primary`.
    pub durability: String,
}

/// One customer with one key.
#[derive(Clone, Debug)]
pub struct CustomerPlan {
    /// Name.
    pub name: String,
    /// Key with which callers of this customer log in.
    pub key: String,
    /// Transactions a second.
    pub rate: u32,
    /// Transactions that may start at once (burst size).
    pub burst: u32,
}

/// One route.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Name.
    pub name: String,
    /// Group.
    pub group: String,
    /// Maximum staleness of reads in ms; none demands read-your-writes.
    pub age_ms: Option<u64>,
    /// Whether callers without a key may use the route.
    pub is_open: bool,
}

/// A whole deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// VMs.
    pub vms: Vec<VmPlan>,
    /// Groups.
    pub groups: Vec<GroupPlan>,
    /// Customers; each may use every route that is not open.
    pub customers: Vec<CustomerPlan>,
    /// Routes.
    pub routes: Vec<RoutePlan>,
    /// Replication lag of replicas.
    pub replica_lag: time::Duration,
    /// One-way delay between failure domains.
    pub domain_delay: time::Duration,
    /// One-way delay between regions.
    pub region_delay: time::Duration,
    /// Bandwidth between regions, in bytes a second.
    pub region_bandwidth: u64,
    /// Caller port of the first VM, counted up for each further VM; 0 selects
    /// free ports.
    pub first_port: u16,
    /// Plug-ins that the daemons use.
    pub policy: config::Policy,
    /// Timing settings of the daemons.
    pub timing: config::Timing,
    /// Limits of the daemons.
    pub limits: config::Limits,
}

const fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

impl Plan {
    /// Three VMs in three failure domains that serve one group of three
    /// instances, without network delays.
    pub fn small() -> Self {
        let vm = |i: usize| VmPlan {
            name: format!("vm-{i}"),
            domain: format!("domain-{i}"),
            region: "home".into(),
        };
        let site = |i: usize| (format!("domain-{i}"), "home".to_string());
        Self {
            vms: (1..=3).map(vm).collect(),
            groups: vec![GroupPlan {
                name: "orders".into(),
                sites: (1..=3).map(site).collect(),
                connections: 16,
                slots: 4,
                statement_time: time::Duration::ZERO,
                connect_time: time::Duration::ZERO,
                durability: "majority".into(),
            }],
            customers: vec![CustomerPlan {
                name: "tienda".into(),
                key: "key-of-tienda-7f31".into(),
                rate: 100_000,
                burst: 100_000,
            }],
            routes: vec![RoutePlan {
                name: "orders".into(),
                group: "orders".into(),
                age_ms: None,
                is_open: false,
            }],
            replica_lag: time::Duration::ZERO,
            domain_delay: time::Duration::ZERO,
            region_delay: time::Duration::ZERO,
            region_bandwidth: 1 << 40,
            first_port: 0,
            policy: config::Policy::default(),
            timing: Self::default_timing(),
            limits: config::Limits {
                message_bytes: 1 << 20,
                max_sessions: 4096,
                startup_timeout: ms(10_000),
                idle_timeout: ms(10_000),
                wait_timeout: ms(5000),
                queue_length: 256,
                burst_tolerance: 0,
                overage_ppm: 0,
            },
        }
    }

    /// Default timing of the settings, with a shorter platform interval.
    pub fn default_timing() -> config::Timing {
        config::Timing {
            lease: ms(300),
            poll_period: ms(50),
            suspicion_timeout: ms(250),
            gossip_period: ms(100),
            refusal_timeout: ms(2000),
            platform_period: ms(500),
            stop_timeout: ms(10_000),
            leave_period: ms(0),
            drain_timeout: ms(5_000),
            evacuation_timeout: ms(3000),
            tick_period: ms(2),
            idle_period: ms(2),
        }
    }

    /// Lengthens the failure detection times so that a test machine that stalls
    /// threads for a while causes no suspicion; only injected faults do.
    pub fn for_fault_tests(mut self) -> Self {
        self.timing.lease = ms(1500);
        self.timing.suspicion_timeout = ms(1500);
        self.timing.refusal_timeout = ms(4000);
        self
    }

    /// Lengthens the failure detection times for tests that inject no fault.
    pub fn for_fault_free_tests(mut self) -> Self {
        self.timing.lease = ms(20_000);
        self.timing.suspicion_timeout = ms(20_000);
        self.timing.refusal_timeout = ms(20_000);
        self
    }

    /// Release note that configures all groups, customers and routes; `addresses`
    /// holds the address of each instance by group.
    pub(crate) fn initial_note(&self, addresses: &[Vec<net::SocketAddr>]) -> String {
        let mut out = String::from("note: first\nadded:\n  groups:\n");
        for (group, addresses) in self.groups.iter().zip(addresses) {
            let _ = writeln!(out, "    - name: {}", group.name);
            let _ = writeln!(out, "      durability: {}", group.durability);
            let _ = writeln!(out, "      instances:");
            for (i, (address, site)) in addresses.iter().zip(&group.sites).enumerate() {
                let (name, domain, count) = (&group.name, &site.0, group.connections);
                let _ = writeln!(
                    out,
                    "        - {{name: {name}-{i}, address: \"{address}\", domain: {domain}, connections: {count}}}"
                );
            }
        }
        let _ = writeln!(out, "  customers:");
        for customer in &self.customers {
            let digest: String = config::KeyDigest::of(customer.key.as_bytes()).into();
            let (name, rate, burst) = (&customer.name, customer.rate, customer.burst);
            let _ = writeln!(
                out,
                "    - {{name: {name}, rate: {rate}, burst: {burst}, keys: [{{name: first, digest: \"{digest}\"}}]}}"
            );
        }
        let _ = writeln!(out, "  routes:");
        let names: Vec<_> = self.customers.iter().map(|c| c.name.as_str()).collect();
        for route in &self.routes {
            let access = if route.is_open {
                "open: true".to_string()
            } else {
                format!("customers: [{}]", names.join(", "))
            };
            let (name, group) = (&route.name, &route.group);
            let age = route
                .age_ms
                .map_or(String::new(), |ms| format!("age: {ms}ms, "));
            let _ = writeln!(
                out,
                "    - {{name: {name}, group: {group}, database: {group}, {age}{access}}}"
            );
        }
        out
    }
}
