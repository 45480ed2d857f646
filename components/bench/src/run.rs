//! One run: a deployment, a load with its fault, a variant.

use std::{net, sync, sync::atomic, thread, time};

use postgres::{Client, NoTls};

use crate::{deployment, failure, load, overhead, report, worker};

/// Time before a fault begins.
const LEAD: time::Duration = time::Duration::from_millis(1500);
/// Time between the end of a loss and the next one.
const LOSS_PAUSE: time::Duration = time::Duration::from_millis(1500);
/// Longest wait for writes after a loss.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(15);
/// Identities of orders of one session.
const IDS: i32 = 1_000_000;
/// Share of sessions at the first fifth of the VMs, in percent.
const SKEW_PERCENT: usize = 80;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Load.
    pub load: load::Load,
    /// Variant.
    pub variant: load::Variant,
    /// Length of the load.
    pub span: time::Duration,
    /// Losses of the primary.
    pub losses: usize,
}

/// Runs once.
pub fn run(
    deployment: &deployment::Deployment,
    setup: Setup,
) -> Result<report::Row, failure::Failure> {
    let mut row = report::Row {
        deployment: deployment.name.clone(),
        load: setup.load.to_string(),
        variant: setup.variant.to_string(),
        ..report::Row::default()
    };
    if setup.load == load::Load::Overhead {
        overhead::measure(&mut row, setup.span)?;
        return Ok(row);
    }
    let mut cluster = testbed::Cluster::start(deployment.plan(setup.variant))?;
    let doors = open_doors(&cluster, deployment)?;
    create_tables(&cluster, deployment)?;
    for group in &cluster.groups {
        group
            .instances()
            .iter()
            .for_each(|instance| instance.record());
    }
    let tasks = tasks(deployment, setup, &doors);
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let begin = time::Instant::now() + time::Duration::from_millis(500);
    let sessions: Vec<_> = tasks
        .into_iter()
        .map(|task| {
            let stop = stop.clone();
            thread::spawn(move || worker::run(task, begin, &stop))
        })
        .collect();
    thread::sleep(begin.saturating_duration_since(time::Instant::now()) + LEAD);
    let reads = count_reads(&cluster);
    let far = cluster.network.far_bytes();
    let end = time::Instant::now() + setup.span;
    let mut fault = Fault {
        deployment,
        doors: &doors,
        losses: Vec::new(),
    };
    fault.bring_about(&mut cluster, setup, &mut row)?;
    thread::sleep(end.saturating_duration_since(time::Instant::now()));
    let losses = fault.losses;
    row.far_bytes = (cluster.network.far_bytes() - far) / setup.span.as_secs().max(1);
    note_reads(&cluster, reads, &mut row);
    stop.store(true, atomic::Ordering::SeqCst);
    let mut seen = Vec::new();
    for session in sessions {
        if let Ok(result) = session.join() {
            seen.push(result?);
        }
    }
    let over = over(deployment, setup.load);
    row.collect(&seen, over)?;
    row.gaps_ms = gaps(&seen, &losses);
    audit(&cluster, deployment, &seen, &mut row)?;
    Ok(row)
}

/// Customer that goes over its rate or loses its key: the last one.
fn over(deployment: &deployment::Deployment, load: load::Load) -> Option<usize> {
    let singled = matches!(load, load::Load::OneAtFive | load::Load::KeyWithdrawn);
    singled.then_some(deployment.customers.len() - 1)
}

/// Links from clients to VMs, each with the delay to clients.
fn open_doors(
    cluster: &testbed::Cluster,
    deployment: &deployment::Deployment,
) -> Result<Vec<net::SocketAddr>, failure::Failure> {
    let mut doors = Vec::new();
    for (i, vm) in deployment.vms.iter().enumerate() {
        let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
        let client = net::IpAddr::V4(net::Ipv4Addr::new(127, 0, 2, last));
        let site = |domain: &str| standin::Site {
            region: vm.region.clone(),
            domain: domain.into(),
        };
        cluster.network.place(client, site("clients"));
        let address = cluster.daemon(i).caller_address();
        doors.push(
            cluster
                .network
                .link_from(address, site(&vm.domain), Some(client))?,
        );
    }
    Ok(doors)
}

fn url(
    deployment: &deployment::Deployment,
    door: net::SocketAddr,
    customer: usize,
    service: usize,
) -> String {
    let name = &deployment.services[service];
    format!("postgres://customer-{customer}:key-of-customer-{customer}-51c2@{door}/{name}")
}

fn create_tables(
    cluster: &testbed::Cluster,
    deployment: &deployment::Deployment,
) -> Result<(), failure::Failure> {
    for service in 0..deployment.services.len() {
        let create = "CREATE TABLE orders (id INT PRIMARY KEY, item TEXT, quantity INT)";
        let mut client = Client::connect(&cluster.url(0, 0, service), NoTls)?;
        client.batch_execute(create)?;
    }
    thread::sleep(cluster.plan().replica_lag * 2);
    Ok(())
}

/// Sessions of all customers and services, most of them at few VMs.
fn tasks(
    deployment: &deployment::Deployment,
    setup: Setup,
    doors: &[net::SocketAddr],
) -> Vec<worker::Task> {
    let mut tasks = Vec::new();
    let services = deployment.services.len();
    let sessions = match setup.load {
        load::Load::MonthEnd | load::Load::OneAtFive => deployment.sessions * 2,
        _ => deployment.sessions,
    };
    for customer in 0..deployment.customers.len() {
        let ordinary = f64::from(deployment.month_end(customer)) / f64::from(deployment::MONTH_END);
        let plan_rate = f64::from(deployment.month_end(customer) * deployment.rate_percent) / 100.0;
        let total = match setup.load {
            load::Load::MonthEnd => ordinary * f64::from(deployment::MONTH_END),
            load::Load::OneAtFive if over(deployment, setup.load) == Some(customer) => {
                plan_rate * 5.0
            }
            load::Load::OneAtFive => ordinary * f64::from(deployment::MONTH_END) / 2.0,
            _ => ordinary,
        };
        for service in 0..services {
            for session in 0..sessions {
                let number = tasks.len();
                let home = home(customer, session, sessions, doors.len());
                let urls = (0..doors.len())
                    .map(|i| {
                        url(
                            deployment,
                            doors[(home + i) % doors.len()],
                            customer,
                            service,
                        )
                    })
                    .collect();
                tasks.push(worker::Task {
                    customer,
                    service,
                    urls,
                    rate: total / (services * sessions) as f64,
                    writes: deployment.writes_percent,
                    first: i32::try_from(number).unwrap_or(0) * IDS,
                    seed: number as u64,
                });
            }
        }
    }
    tasks
}

/// VM of a session: 80% of a customer's sessions go to a fifth of the VMs.
fn home(customer: usize, session: usize, sessions: usize, vms: usize) -> usize {
    let few = vms.div_ceil(5);
    if session * 100 < sessions * SKEW_PERCENT {
        (customer + session % few) % vms
    } else {
        (customer + few + session) % vms
    }
}

fn count_reads(cluster: &testbed::Cluster) -> (u64, u64) {
    let instances = cluster.groups.iter().flat_map(|group| group.instances());
    instances.fold((0, 0), |(replica, primary), instance| {
        let (r, p) = instance.reads();
        (replica + r, primary + p)
    })
}

fn note_reads(cluster: &testbed::Cluster, before: (u64, u64), row: &mut report::Row) {
    let after = count_reads(cluster);
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    row.replica_percent = replica as f64 * 100.0 / (replica + primary).max(1) as f64;
}

/// Brings about what a load is named for.
struct Fault<'a> {
    deployment: &'a deployment::Deployment,
    doors: &'a [net::SocketAddr],
    losses: Vec<time::Instant>,
}

impl Fault<'_> {
    fn bring_about(
        &mut self,
        cluster: &mut testbed::Cluster,
        setup: Setup,
        row: &mut report::Row,
    ) -> Result<(), failure::Failure> {
        match setup.load {
            load::Load::PrimaryLost => self.lose_primaries(cluster, setup.losses),
            load::Load::RegionCut => {
                let regions = (
                    &self.deployment.vms[0].region,
                    &self.deployment.vms[2].region,
                );
                cluster.network.cut_regions(regions.0, regions.1, true);
                thread::sleep(setup.span / 2);
                cluster.network.cut_regions(regions.0, regions.1, false);
            }
            load::Load::StoreDown => {
                cluster.platform.set_down(true);
                thread::sleep(setup.span * 3 / 4);
                cluster.platform.set_down(false);
            }
            load::Load::Rolling => self.replace_vms(cluster)?,
            load::Load::KeyWithdrawn => {
                let last = self.deployment.customers.len() - 1;
                let note = format!(
                    "note: withdraw\nwithdrawn:\n  keys: [{{customer: customer-{last}, key: first}}]\n"
                );
                self.apply(cluster, &note, row)?;
            }
            load::Load::ReleaseNote => {
                for i in 0..10 {
                    let note = format!(
                        "note: extra-{i}\nadded:\n  customers: [{{name: extra-{i}, rate: 1, burst: 1}}]\n"
                    );
                    self.apply(cluster, &note, row)?;
                    thread::sleep(setup.span / 20);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn apply(
        &self,
        cluster: &testbed::Cluster,
        note: &str,
        row: &mut report::Row,
    ) -> Result<(), failure::Failure> {
        let begun = time::Instant::now();
        cluster.apply_note(note)?;
        let took = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        row.in_force_ms.push(took);
        Ok(())
    }

    fn lose_primaries(&mut self, cluster: &testbed::Cluster, losses: usize) {
        for _ in 0..losses {
            let Some(primary) = cluster.groups[0].primary() else {
                return;
            };
            let old = cluster.groups[0].instances()[primary].clone();
            self.losses.push(time::Instant::now());
            old.kill();
            cluster.wait_until(GAP_LIMIT, |cluster| {
                cluster.groups[0].primary().is_some_and(|i| i != primary)
            });
            thread::sleep(LOSS_PAUSE);
            old.revive();
            thread::sleep(LOSS_PAUSE);
        }
    }

    /// Stops every VM in turn, while a new one joins.
    fn replace_vms(&self, cluster: &mut testbed::Cluster) -> Result<(), failure::Failure> {
        for (i, door) in self.doors.iter().enumerate() {
            let old = cluster.plan().vms[i].clone();
            let fresh = testbed::VmPlan {
                name: format!("{}-next", old.name),
                ..old
            };
            let index = cluster.add_vm(fresh)?;
            cluster.publish_vms(time::Duration::ZERO);
            cluster.wait_until(GAP_LIMIT, |cluster| {
                cluster.daemon(index).inspect(kernel::Daemon::is_ready)
            });
            cluster
                .network
                .move_link(*door, cluster.daemon(index).caller_address());
            cluster.stop_vm(i);
            cluster.publish_vms(time::Duration::ZERO);
        }
        Ok(())
    }
}

/// Times from each loss to the next acknowledged write on the first service.
fn gaps(seen: &[worker::Seen], losses: &[time::Instant]) -> Vec<u64> {
    let writes: Vec<_> = seen
        .iter()
        .filter(|session| session.task.service == 0)
        .flat_map(|session| &session.acknowledged)
        .map(|(_, at)| *at)
        .collect();
    // The answer to a write that was under way may still arrive after a loss.
    let settled = time::Duration::from_millis(100);
    losses
        .iter()
        .map(|loss| {
            let next = writes.iter().filter(|at| **at > *loss + settled).min();
            let gap = next.map_or(GAP_LIMIT, |at| *at - *loss);
            u64::try_from(gap.as_millis()).unwrap_or(u64::MAX)
        })
        .collect()
}

fn audit(
    cluster: &testbed::Cluster,
    deployment: &deployment::Deployment,
    seen: &[worker::Seen],
    row: &mut report::Row,
) -> Result<(), failure::Failure> {
    let door = (0..cluster.vm_count())
        .rfind(|vm| cluster.is_running(*vm))
        .unwrap_or(0);
    for service in 0..deployment.services.len() {
        let mut client = Client::connect(&cluster.url(door, 0, service), NoTls)?;
        let rows = client.query("SELECT id FROM orders", &[])?;
        let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
        let own: Vec<_> = seen.iter().filter(|s| s.task.service == service).collect();
        row.audit(&own, &ids);
    }
    for instance in cluster.groups.iter().flat_map(|group| group.instances()) {
        let bytes = instance.recorded();
        let key = b"key-of-customer-";
        row.key_seen += u64::from(bytes.windows(key.len()).any(|window| window == key));
    }
    Ok(())
}
