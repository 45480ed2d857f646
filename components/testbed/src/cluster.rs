//! A running cluster: daemons, simulated instances and their network.

use std::{net, sync, thread, time};

use config::Name;
use kernel::event;

use crate::{failure, permit, plan};

/// Limit for every daemon to become ready with the initial configuration.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Interval between checks of a condition.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(5);

/// A VM and its daemon; the daemon is `None` once stopped or killed.
struct Vm {
    plan: plan::VmPlan,
    source_ip: net::IpAddr,
    daemon: Option<daemon::Running>,
    peer_link: net::SocketAddr,
    platform_link: net::SocketAddr,
}

/// Running daemons with the simulated services that they use.
pub struct Cluster {
    /// Simulated network between all sites.
    pub network: sync::Arc<standin::Network>,
    /// Simulated platform: VM list and store.
    pub platform: sync::Arc<standin::Platform>,
    /// Simulated database groups, in the order of the plan.
    pub groups: Vec<sync::Arc<standin::Group>>,
    plan: plan::Plan,
    vms: Vec<Vm>,
    instance_links: Vec<Vec<net::SocketAddr>>,
    _permit: permit::Permit,
}

fn site(domain: &str, region: &str) -> standin::Site {
    standin::Site {
        region: region.into(),
        domain: domain.into(),
    }
}

fn vm_source_ip(index: usize) -> net::IpAddr {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    net::IpAddr::V4(net::Ipv4Addr::new(127, 0, 1, last))
}

impl Cluster {
    /// Starts all parts, applies the initial release note and waits until every
    /// daemon is ready.
    pub fn start(plan: plan::Plan) -> Result<Self, failure::Failure> {
        let cluster = Self::start_unconfigured(plan)?;
        cluster.apply_initial_note()?;
        Ok(cluster)
    }

    /// Starts all parts, but applies no release note.
    pub fn start_unconfigured(plan: plan::Plan) -> Result<Self, failure::Failure> {
        let permit = permit::Permit::acquire();
        let network =
            standin::Network::new(plan.domain_delay, plan.region_delay, plan.region_bandwidth)?;
        let platform = standin::Platform::start()?;
        let mut cluster = Self {
            network,
            platform,
            groups: Vec::new(),
            vms: Vec::new(),
            instance_links: Vec::new(),
            plan,
            _permit: permit,
        };
        cluster.start_groups()?;
        for index in 0..cluster.plan.vms.len() {
            cluster.add_vm(cluster.plan.vms[index].clone())?;
        }
        cluster.publish_vms(time::Duration::ZERO);
        Ok(cluster)
    }

    fn start_groups(&mut self) -> Result<(), failure::Failure> {
        for group in self.plan.groups.clone() {
            let instances = (0..group.sites.len())
                .map(|i| standin::InstanceSetup {
                    name: format!("{}-{i}", group.name),
                    connections: usize::try_from(group.connections).unwrap_or(usize::MAX),
                    slots: group.slots,
                    connect: group.connect_time,
                    work: group.statement_time,
                    ..standin::InstanceSetup::default()
                })
                .collect();
            let delays = group
                .sites
                .iter()
                .map(|a| self.replication_delays(a, &group.sites))
                .collect();
            let running = standin::Group::start(standin::GroupSetup { instances, delays })?;
            let mut addresses = Vec::new();
            for (instance, (domain, region)) in running.instances().iter().zip(&group.sites) {
                instance.set_lag(self.plan.replica_lag);
                let place = site(domain, region);
                addresses.push(self.network.link(instance.address(), place)?);
            }
            self.groups.push(running);
            self.instance_links.push(addresses);
        }
        Ok(())
    }

    fn replication_delays(
        &self,
        from: &(String, String),
        to: &[(String, String)],
    ) -> Vec<time::Duration> {
        to.iter()
            .map(|to| match (from.1 == to.1, from == to) {
                (_, true) => time::Duration::ZERO,
                (true, false) => self.plan.domain_delay,
                (false, _) => self.plan.region_delay,
            })
            .collect()
    }

    /// Starts a VM; the platform lists the VM after the next [`Self::publish_vms`].
    pub fn add_vm(&mut self, plan: plan::VmPlan) -> Result<usize, failure::Failure> {
        let index = self.vms.len();
        let source_ip = vm_source_ip(index);
        let place = site(&plan.domain, &plan.region);
        self.network.place(source_ip, place.clone());
        let home = &self.plan.vms[0];
        let store = site(&home.domain, &home.region);
        let platform_link =
            self.network
                .link_from(self.platform.address(), store, Some(source_ip))?;
        let port = match self.plan.first_port {
            0 => 0,
            first => first + u16::try_from(index).unwrap_or(0),
        };
        let daemon = self.start_daemon(&plan, source_ip, platform_link, port)?;
        let peer_link = self.network.link(daemon.peer_address(), place)?;
        self.vms.push(Vm {
            plan,
            source_ip,
            daemon: Some(daemon),
            peer_link,
            platform_link,
        });
        Ok(index)
    }

    fn start_daemon(
        &self,
        vm: &plan::VmPlan,
        source_ip: net::IpAddr,
        platform_link: net::SocketAddr,
        port: u16,
    ) -> Result<daemon::Running, failure::Failure> {
        let name = |raw: &str| Name::try_from(raw).map_err(failure::Failure::InvalidName);
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let credentials = standin::InstanceSetup::default();
        let settings = config::Settings {
            vm: name(&vm.name)?,
            source_address: source_ip,
            domain: name(&vm.domain)?,
            region: name(&vm.region)?,
            listen_address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
            peer_address: any,
            admin_address: any,
            domain_regions: std::collections::BTreeMap::new(),
            platform_url: format!("http://{platform_link}"),
            promotion_url: None,
            dialect: name("postgres")?,
            credentials: config::Credentials {
                user: credentials.user,
                password: credentials.password,
            },
            tls: None,
            limits: self.plan.limits.clone(),
            intake: config::Intake::default(),
            timing: self.plan.timing.clone(),
            policy: self.plan.policy.clone(),
            log_level: name("info")?,
        };
        Ok(daemon::Running::start(settings)?)
    }

    /// Lists the VMs with a running daemon on the platform after the given lag.
    pub fn publish_vms(&self, lag: time::Duration) {
        let running = self.vms.iter().filter(|vm| vm.daemon.is_some());
        let vms = running
            .map(|vm| standin::Vm {
                name: vm.plan.name.clone(),
                domain: vm.plan.domain.clone(),
                region: vm.plan.region.clone(),
                peer: vm.peer_link.to_string(),
                leaving: false,
            })
            .collect();
        self.platform.set_vms(vms, lag);
    }

    /// Applies the plan's release note and waits until every daemon is ready.
    pub fn apply_initial_note(&self) -> Result<(), failure::Failure> {
        let text = self.plan.initial_note(&self.instance_links);
        self.apply_note(&text)?;
        self.wait_ready();
        Ok(())
    }

    /// Applies a release note through the first running daemon and returns the
    /// revision.
    pub fn apply_note(&self, text: &str) -> Result<u64, failure::Failure> {
        let origin = config::Origin("note".into());
        let note = config::read_note(text, &origin)?;
        let first = (0..self.vms.len()).find(|i| self.vms[*i].daemon.is_some());
        let verdict = self.daemon(first.unwrap_or(0)).apply(note);
        match verdict {
            event::SubmissionOutcome::InForce(revision) => Ok(revision),
            other => Err(failure::Failure::NoteNotAccepted(other)),
        }
    }

    /// Waits until every running daemon is ready and knows the primary of every
    /// group.
    pub fn wait_ready(&self) {
        self.wait_until(START_TIMEOUT, |cluster| {
            cluster.running().all(|daemon| {
                daemon.inspect(|kernel| {
                    let all = kernel.groups().all(|(_, group)| group.primary().is_some());
                    kernel.is_ready() && all
                })
            })
        });
    }

    /// Polls a condition; returns false if the condition does not hold within
    /// the limit.
    pub fn wait_until(&self, limit: time::Duration, is_met: impl Fn(&Self) -> bool) -> bool {
        let deadline = time::Instant::now() + limit;
        while time::Instant::now() < deadline {
            if is_met(self) {
                return true;
            }
            thread::sleep(POLL_PERIOD);
        }
        false
    }

    fn running(&self) -> impl Iterator<Item = &daemon::Running> {
        self.vms.iter().filter_map(|vm| vm.daemon.as_ref())
    }

    /// Running daemon of a VM.
    ///
    /// # Panics
    ///
    /// Panics if the daemon was stopped or killed before.
    pub fn daemon(&self, index: usize) -> &daemon::Running {
        let daemon = self.vms[index].daemon.as_ref();
        daemon.expect("the daemon was stopped before")
    }

    /// Number of VMs started so far, including those stopped since.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Whether the daemon of a VM runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.vms[index].daemon.is_some()
    }

    /// Address from which a VM's daemon opens its connections.
    pub fn source_ip(&self, index: usize) -> net::IpAddr {
        self.vms[index].source_ip
    }

    /// Address of the simulated link to an instance.
    pub fn instance_link(&self, group: usize, instance: usize) -> net::SocketAddr {
        self.instance_links[group][instance]
    }

    /// Blocks the links between a VM and its peers, or restores them.
    pub fn isolate_from_peers(&self, index: usize, is_isolated: bool) {
        for (other, vm) in self.vms.iter().enumerate() {
            if other != index {
                self.network
                    .cut(self.vms[index].source_ip, vm.peer_link, is_isolated);
                self.network
                    .cut(vm.source_ip, self.vms[index].peer_link, is_isolated);
            }
        }
    }

    /// Blocks the link from a VM to the platform, or restores the link.
    pub fn isolate_from_platform(&self, index: usize, is_isolated: bool) {
        let vm = &self.vms[index];
        self.network
            .cut(vm.source_ip, vm.platform_link, is_isolated);
    }

    /// Stops a VM's daemon gracefully.
    pub fn stop_vm(&mut self, index: usize) {
        if let Some(daemon) = self.vms[index].daemon.take() {
            daemon.stop();
        }
    }

    /// Kills a VM's daemon and closes its connections.
    pub fn kill_vm(&mut self, index: usize) {
        if let Some(daemon) = self.vms[index].daemon.take() {
            daemon.kill();
            self.network.close_from(self.vms[index].source_ip);
        }
    }

    /// Connection URL for a customer's route at a VM.
    pub fn url(&self, index: usize, customer: usize, route: usize) -> String {
        let address = self.daemon(index).caller_address();
        let customer = &self.plan.customers[customer];
        let (user, key) = (&customer.name, &customer.key);
        let route = &self.plan.routes[route].name;
        format!("postgres://{user}:{key}@{address}/{route}")
    }

    /// Plan from which the cluster was started.
    pub fn plan(&self) -> &plan::Plan {
        &self.plan
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.vms.len() {
            self.kill_vm(index);
        }
        for group in &self.groups {
            group.stop();
        }
        self.platform.stop();
    }
}
