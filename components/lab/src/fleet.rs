//! A running lab.

use std::{net, sync, thread, time};

use config::Name;
use kernel::event;

use crate::{failure, plan};

/// Time for the first configuration to come into force.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Pause between looks at a daemon.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(5);

/// One VM with its daemon, if that runs.
struct Vm {
    plan: plan::VmPlan,
    source: net::IpAddr,
    daemon: Option<daemon::Running>,
    link: net::SocketAddr,
    platform: net::SocketAddr,
}

/// Stand-ins, links and daemons.
pub struct Lab {
    /// The network between all sites.
    pub network: sync::Arc<standin::Network>,
    /// The platform.
    pub platform: sync::Arc<standin::Platform>,
    /// Groups in the order of the plan.
    pub groups: Vec<sync::Arc<standin::Group>>,
    plan: plan::Plan,
    vms: Vec<Vm>,
    instances: Vec<Vec<net::SocketAddr>>,
}

fn site(domain: &str, region: &str) -> standin::Site {
    standin::Site {
        region: region.into(),
        domain: domain.into(),
    }
}

fn source(index: usize) -> net::IpAddr {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    net::IpAddr::V4(net::Ipv4Addr::new(127, 0, 1, last))
}

impl Lab {
    /// Starts everything and brings the first configuration into force.
    pub fn start(plan: plan::Plan) -> Result<Self, failure::Failure> {
        let lab = Self::prepare(plan)?;
        lab.configure()?;
        Ok(lab)
    }

    /// Starts everything without a configuration.
    pub fn prepare(plan: plan::Plan) -> Result<Self, failure::Failure> {
        let network = standin::Network::new(plan.near, plan.far, plan.rate);
        let platform = standin::Platform::start()?;
        let mut lab = Self {
            network,
            platform,
            groups: Vec::new(),
            vms: Vec::new(),
            instances: Vec::new(),
            plan,
        };
        lab.start_groups()?;
        for index in 0..lab.plan.vms.len() {
            lab.add_vm(lab.plan.vms[index].clone())?;
        }
        lab.publish(time::Duration::ZERO);
        Ok(lab)
    }

    fn start_groups(&mut self) -> Result<(), failure::Failure> {
        for group in self.plan.groups.clone() {
            let instances = (0..group.sites.len())
                .map(|i| standin::InstanceSetup {
                    name: format!("{}-{i}", group.name),
                    connections: usize::try_from(group.connections).unwrap_or(usize::MAX),
                    slots: group.slots,
                    connect: group.connect,
                    work: group.work,
                    ..standin::InstanceSetup::default()
                })
                .collect();
            let delays = group
                .sites
                .iter()
                .map(|a| self.delays(a, &group.sites))
                .collect();
            let running = standin::Group::start(standin::GroupSetup { instances, delays })?;
            let mut addresses = Vec::new();
            for (instance, (domain, region)) in running.instances().iter().zip(&group.sites) {
                instance.set_lag(self.plan.lag);
                let place = site(domain, region);
                addresses.push(self.network.link(instance.address(), place)?);
            }
            self.groups.push(running);
            self.instances.push(addresses);
        }
        Ok(())
    }

    fn delays(&self, from: &(String, String), to: &[(String, String)]) -> Vec<time::Duration> {
        to.iter()
            .map(|to| match (from.1 == to.1, from == to) {
                (_, true) => time::Duration::ZERO,
                (true, false) => self.plan.near,
                (false, _) => self.plan.far,
            })
            .collect()
    }

    /// Starts one more VM, which is published with the next list.
    pub fn add_vm(&mut self, plan: plan::VmPlan) -> Result<usize, failure::Failure> {
        let index = self.vms.len();
        let source = source(index);
        let place = site(&plan.domain, &plan.region);
        self.network.place(source, place.clone());
        let home = &self.plan.vms[0];
        let store = site(&home.domain, &home.region);
        let platform = self
            .network
            .link_from(self.platform.address(), store, Some(source))?;
        let port = match self.plan.port {
            0 => 0,
            first => first + u16::try_from(index).unwrap_or(0),
        };
        let daemon = self.start_daemon(&plan, source, platform, port)?;
        let link = self.network.link(daemon.peer_address(), place)?;
        self.vms.push(Vm {
            plan,
            source,
            daemon: Some(daemon),
            link,
            platform,
        });
        Ok(index)
    }

    fn start_daemon(
        &self,
        vm: &plan::VmPlan,
        source: net::IpAddr,
        platform: net::SocketAddr,
        port: u16,
    ) -> Result<daemon::Running, failure::Failure> {
        let name = |raw: &str| Name::try_from(raw).map_err(failure::Failure::Name);
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let credentials = standin::InstanceSetup::default();
        let settings = config::Settings {
            vm: name(&vm.name)?,
            source_address: source,
            domain: name(&vm.domain)?,
            region: name(&vm.region)?,
            listen_address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
            peer_address: any,
            admin_address: any,
            domain_regions: std::collections::BTreeMap::new(),
            platform_url: format!("http://{platform}"),
            promotion_url: None,
            dialect: name("postgres")?,
            credentials: config::Credentials {
                user: credentials.user,
                password: credentials.password,
            },
            tls: None,
            limits: self.plan.limits.clone(),
            timing: self.plan.timing.clone(),
            policy: self.plan.policy.clone(),
            log_level: name("info")?,
        };
        Ok(daemon::Running::start(settings)?)
    }

    /// Publishes the running VMs in the platform's list after a lag.
    pub fn publish(&self, lag: time::Duration) {
        let running = self.vms.iter().filter(|vm| vm.daemon.is_some());
        let vms = running
            .map(|vm| standin::Vm {
                name: vm.plan.name.clone(),
                domain: vm.plan.domain.clone(),
                region: vm.plan.region.clone(),
                peer: vm.link.to_string(),
                leaving: false,
            })
            .collect();
        self.platform.set_vms(vms, lag);
    }

    /// Applies the first release note and waits until every daemon is ready.
    pub fn configure(&self) -> Result<(), failure::Failure> {
        let text = self.plan.note(&self.instances);
        self.apply(&text)?;
        self.wait_ready();
        Ok(())
    }

    /// Applies a release note through the first running daemon.
    pub fn apply(&self, text: &str) -> Result<u64, failure::Failure> {
        let origin = config::Origin("note".into());
        let note = config::read_note(text, &origin)?;
        let first = (0..self.vms.len()).find(|i| self.vms[*i].daemon.is_some());
        let verdict = self.daemon(first.unwrap_or(0)).apply(note);
        match verdict {
            event::SubmissionOutcome::InForce(revision) => Ok(revision),
            other => Err(failure::Failure::Verdict(other)),
        }
    }

    /// Waits until every running daemon is ready and every group confirmed.
    pub fn wait_ready(&self) {
        self.wait(START_TIMEOUT, |lab| {
            lab.running().all(|daemon| {
                daemon.inspect(|kernel| {
                    let all = kernel.groups().all(|(_, group)| group.primary().is_some());
                    kernel.is_ready() && all
                })
            })
        });
    }

    /// Waits until a condition holds; false if it does not within the limit.
    pub fn wait(&self, limit: time::Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let deadline = time::Instant::now() + limit;
        while time::Instant::now() < deadline {
            if holds(self) {
                return true;
            }
            thread::sleep(LOOK_PERIOD);
        }
        false
    }

    fn running(&self) -> impl Iterator<Item = &daemon::Running> {
        self.vms.iter().filter_map(|vm| vm.daemon.as_ref())
    }

    /// Daemon of a VM.
    ///
    /// # Panics
    ///
    /// Panics if the daemon was stopped before.
    pub fn daemon(&self, index: usize) -> &daemon::Running {
        let daemon = self.vms[index].daemon.as_ref();
        daemon.expect("the daemon was stopped before")
    }

    /// Number of VMs started so far.
    pub fn count_vms(&self) -> usize {
        self.vms.len()
    }

    /// Whether the daemon of a VM runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.vms[index].daemon.is_some()
    }

    /// Source address of a VM.
    pub fn source(&self, index: usize) -> net::IpAddr {
        self.vms[index].source
    }

    /// Link to an instance.
    pub fn instance_link(&self, group: usize, instance: usize) -> net::SocketAddr {
        self.instances[group][instance]
    }

    /// Cuts a VM off from its peers, or joins it again.
    pub fn cut_peers(&self, index: usize, cut: bool) {
        for (other, vm) in self.vms.iter().enumerate() {
            if other != index {
                self.network.cut(self.vms[index].source, vm.link, cut);
                self.network.cut(vm.source, self.vms[index].link, cut);
            }
        }
    }

    /// Cuts a VM off from the platform, or joins it again.
    pub fn cut_platform(&self, index: usize, cut: bool) {
        let vm = &self.vms[index];
        self.network.cut(vm.source, vm.platform, cut);
    }

    /// Stops a daemon gracefully.
    pub fn stop_vm(&mut self, index: usize) {
        if let Some(daemon) = self.vms[index].daemon.take() {
            daemon.stop();
        }
    }

    /// Kills a daemon.
    pub fn kill_vm(&mut self, index: usize) {
        if let Some(daemon) = self.vms[index].daemon.take() {
            daemon.kill();
            self.network.close_from(self.vms[index].source);
        }
    }

    /// Connection line of a customer's route at a VM.
    pub fn url(&self, index: usize, customer: usize, route: usize) -> String {
        let address = self.daemon(index).caller_address();
        let customer = &self.plan.customers[customer];
        let (user, key) = (&customer.name, &customer.key);
        let route = &self.plan.routes[route].name;
        format!("postgres://{user}:{key}@{address}/{route}")
    }

    /// The plan it was started from.
    pub fn plan(&self) -> &plan::Plan {
        &self.plan
    }
}

impl Drop for Lab {
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
