//! Deployments from YAML.

use std::time;

use serde::Deserialize;

use crate::{failure, load};

/// A VM or an instance at a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name, for VMs.
    #[serde(default)]
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
}

/// Sizes of one user of the system.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// VMs.
    pub vms: Vec<Place>,
    /// Database services.
    pub services: Vec<String>,
    /// Sites of the instances of each service.
    pub sites: Vec<Place>,
    /// Execution slots of an instance.
    pub slots: usize,
    /// Connections of an instance.
    pub connections: u32,
    /// Cost of a connection, in ms.
    pub connect_ms: u64,
    /// Time that a statement takes, in microseconds.
    pub work_us: u64,
    /// Lag of replicas, in ms.
    pub lag_ms: u64,
    /// One-way delay between failure domains and to clients, in ms.
    pub near_ms: u64,
    /// One-way delay between regions, in ms.
    pub far_ms: u64,
    /// Rate of the link between regions, in Mbit/s.
    pub link_mbit: u64,
    /// Share of the load of each customer, in percent.
    pub customers: Vec<u32>,
    /// Transactions a second on an ordinary day.
    pub load: u32,
    /// Rate against the month-end load, in percent.
    pub rate_percent: u32,
    /// Share of writes, in percent.
    pub writes_percent: u32,
    /// Sessions of each customer and service.
    pub sessions: usize,
}

/// Month-end traffic against an ordinary day.
pub const MONTH_END: u32 = 10;

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
    /// Transactions a second of a customer at month-end, which its rate covers.
    pub fn month_end(&self, customer: usize) -> u32 {
        self.load * MONTH_END * self.customers[customer] / 100
    }

    /// The cluster for a variant.
    pub fn plan(&self, variant: load::Variant) -> testbed::Plan {
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
        plan.groups = self.services.iter().map(|name| self.group(name)).collect();
        plan.customers = (0..self.customers.len())
            .map(|i| self.customer(i))
            .collect();
        plan.routes = self
            .services
            .iter()
            .map(|name| testbed::RoutePlan {
                name: name.clone(),
                group: name.clone(),
                age_ms: 0,
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

    fn group(&self, name: &str) -> testbed::GroupPlan {
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

    fn customer(&self, index: usize) -> testbed::CustomerPlan {
        let rate = self.month_end(index) * self.rate_percent / 100;
        testbed::CustomerPlan {
            name: format!("customer-{index}"),
            key: format!("key-of-customer-{index}-51c2"),
            rate: rate.max(1),
            burst: rate.max(1),
        }
    }
}
