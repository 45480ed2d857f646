//! Deployments to measure, read from YAML files.

use std::time;

use serde::Deserialize;

use crate::{failure, load};

/// Site of a VM or an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the VM; empty for instances.
    #[serde(default)]
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
}

/// Sizes and load of one deployment of the proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// VMs.
    pub vms: Vec<Site>,
    /// Database services; each has a group and a route of its own name.
    pub services: Vec<String>,
    /// Sites of the instances of each service.
    pub sites: Vec<Site>,
    /// Statements that an instance executes at once.
    pub slots: usize,
    /// Connections that an instance accepts.
    pub connections: u32,
    /// Time to open a connection, in ms.
    pub connect_ms: u64,
    /// Execution time of a statement, in microseconds.
    pub work_us: u64,
    /// Replication lag, in ms.
    pub lag_ms: u64,
    /// One-way delay between failure domains and to clients, in ms.
    pub near_ms: u64,
    /// One-way delay between regions, in ms.
    pub far_ms: u64,
    /// Bandwidth between regions, in Mbit/s.
    pub link_mbit: u64,
    /// Share of the load of each customer, in percent.
    pub customers: Vec<u32>,
    /// Transactions a second on an ordinary day.
    pub load: u32,
    /// Rate of a customer relative to its month-end load, in percent.
    pub rate_percent: u32,
    /// Share of writes, in percent.
    pub writes_percent: u32,
    /// Sessions for each pair of customer and service.
    pub sessions: usize,
}

/// Ratio of month-end traffic to that of an ordinary day.
pub const MONTH_END_FACTOR: u32 = 10;

impl TryFrom<&str> for Deployment {
    type Error = failure::Failure;

    fn try_from(name: &str) -> Result<Self, Self::Error> {
        let text = match name {
            "mozaika" => include_str!("../deployments/mozaika.yaml"),
            "cosecha" => include_str!("../deployments/cosecha.yaml"),
            other => {
                return Err(failure::Failure::Deployment(format!(
                    "`{other}` is unknown"
                )));
            }
        };
        serde_saphyr::from_str(text)
            .map_err(|error| failure::Failure::Deployment(error.to_string()))
    }
}

impl Deployment {
    /// Transactions a second that a customer sends at month-end.
    pub fn month_end_rate(&self, customer: usize) -> u32 {
        self.load * MONTH_END_FACTOR * self.customers[customer] / 100
    }

    /// Plan of the cluster for a variant.
    pub fn cluster_plan(&self, variant: load::Variant) -> testbed::Plan {
        let mut plan = testbed::Plan::small();
        plan.vms = self
            .vms
            .iter()
            .map(|vm| testbed::VmPlan {
                name: vm.name.clone(),
                domain: vm.domain.clone(),
                region: vm.region.clone(),
            })
            .collect();
        plan.groups = self
            .services
            .iter()
            .map(|name| self.group_plan(name))
            .collect();
        plan.customers = (0..self.customers.len())
            .map(|i| self.customer_plan(i))
            .collect();
        plan.routes = self
            .services
            .iter()
            .map(|name| testbed::RoutePlan {
                name: name.clone(),
                group: name.clone(),
                age_ms: None,
                is_open: false,
            })
            .collect();
        plan.replica_lag = time::Duration::from_millis(self.lag_ms);
        plan.domain_delay = time::Duration::from_millis(self.near_ms);
        plan.region_delay = time::Duration::from_millis(self.far_ms);
        plan.region_bandwidth = self.link_mbit * 1_000_000 / 8;
        plan.policy = variant.policy();
        plan
    }

    fn group_plan(&self, name: &str) -> testbed::GroupPlan {
        let sites = self.sites.iter();
        testbed::GroupPlan {
            name: name.into(),
            sites: sites
                .map(|s| (s.domain.clone(), s.region.clone()))
                .collect(),
            connections: self.connections,
            slots: self.slots,
            statement_time: time::Duration::from_micros(self.work_us),
            connect_time: time::Duration::from_millis(self.connect_ms),
            durability: "majority".into(),
        }
    }

    fn customer_plan(&self, index: usize) -> testbed::CustomerPlan {
        let rate = self.month_end_rate(index) * self.rate_percent / 100;
        testbed::CustomerPlan {
            name: format!("customer-{index}"),
            key: format!("key-of-customer-{index}-51c2"),
            rate: rate.max(1),
            burst: rate.max(1),
        }
    }
}
