//! Runs one load with its fault against one variant of a deployment.

use std::{net, sync, sync::atomic, thread, time};

use postgres::{Client, NoTls};

use crate::{deployment, failure, load, overhead, report, worker};

/// Time from the start of the load to the start of the measurement and fault.
const WARM_UP: time::Duration = time::Duration::from_millis(1500);
/// Pause after a primary is replaced and again after the old one is revived.
const LOSS_PAUSE: time::Duration = time::Duration::from_millis(1500);
/// Longest wait for a new primary or a ready VM; also the gap reported if no
/// write is acknowledged after a loss.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(15);
/// Range of order ids reserved for each session.
const IDS_PER_SESSION: i32 = 1_000_000;
/// Share of a customer's sessions at one fifth of the VMs, in percent.
const SKEW_PERCENT: usize = 80;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Load.
    pub load: load::Load,
    /// Variant.
    pub variant: load::Variant,
    /// Length of the load.
    pub span: time::Duration,
    /// Number of times that the primary is killed.
    pub losses: usize,
}

/// Runs a load once and returns its row of the report.
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
    let mut cluster = testbed::Cluster::start(deployment.cluster_plan(setup.variant))?;
    let client_links = open_client_links(&cluster, deployment)?;
    create_tables(&cluster, deployment)?;
    for group in &cluster.groups {
        group
            .instances()
            .iter()
            .for_each(|instance| instance.record());
    }
    let tasks = tasks(deployment, setup, &client_links);
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let begin = time::Instant::now() + time::Duration::from_millis(500);
    let sessions: Vec<_> = tasks
        .into_iter()
        .map(|task| {
            let stop = stop.clone();
            thread::spawn(move || worker::run(task, begin, &stop))
        })
        .collect();
    thread::sleep(begin.saturating_duration_since(time::Instant::now()) + WARM_UP);
    let reads = count_reads(&cluster);
    let far = cluster.network.far_bytes();
    let end = time::Instant::now() + setup.span;
    let mut injector = FaultInjector {
        deployment,
        client_links: &client_links,
        losses: Vec::new(),
    };
    injector.inject(&mut cluster, setup, &mut row)?;
    thread::sleep(end.saturating_duration_since(time::Instant::now()));
    let losses = injector.losses;
    row.far_bytes = (cluster.network.far_bytes() - far) / setup.span.as_secs().max(1);
    record_replica_share(&cluster, reads, &mut row);
    stop.store(true, atomic::Ordering::SeqCst);
    let mut results = Vec::new();
    for session in sessions {
        if let Ok(result) = session.join() {
            results.push(result?);
        }
    }
    let excluded = excluded_customer(deployment, setup.load);
    row.add_results(&results, excluded)?;
    row.gaps_ms = write_gaps(&results, &losses);
    check_databases(&cluster, deployment, &results, &mut row)?;
    Ok(row)
}

/// Customer that exceeds its rate or loses its key, which is the last one.
fn excluded_customer(deployment: &deployment::Deployment, load: load::Load) -> Option<usize> {
    let has_excluded = matches!(load, load::Load::OneOverRate | load::Load::KeyWithdrawn);
    has_excluded.then_some(deployment.customers.len() - 1)
}

/// Opens a link from clients to each VM, with the network delay of clients.
fn open_client_links(
    cluster: &testbed::Cluster,
    deployment: &deployment::Deployment,
) -> Result<Vec<net::SocketAddr>, failure::Failure> {
    let mut client_links = Vec::new();
    for (i, vm) in deployment.vms.iter().enumerate() {
        let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
        let client = net::IpAddr::V4(net::Ipv4Addr::new(127, 0, 2, last));
        let site = |domain: &str| standin::Site {
            region: vm.region.clone(),
            domain: domain.into(),
        };
        cluster.network.place(client, site("clients"));
        let address = cluster.daemon(i).caller_address();
        client_links.push(
            cluster
                .network
                .link_from(address, site(&vm.domain), Some(client))?,
        );
    }
    Ok(client_links)
}

fn url(
    deployment: &deployment::Deployment,
    client_link: net::SocketAddr,
    customer: usize,
    service: usize,
) -> String {
    let name = &deployment.services[service];
    format!("postgres://customer-{customer}:key-of-customer-{customer}-51c2@{client_link}/{name}")
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

/// Tasks of the sessions of all customers and services; most sessions connect
/// to few of the VMs.
fn tasks(
    deployment: &deployment::Deployment,
    setup: Setup,
    client_links: &[net::SocketAddr],
) -> Vec<worker::Task> {
    let mut tasks = Vec::new();
    let services = deployment.services.len();
    let sessions = match setup.load {
        load::Load::MonthEnd | load::Load::OneOverRate => deployment.sessions * 2,
        _ => deployment.sessions,
    };
    for customer in 0..deployment.customers.len() {
        let ordinary = f64::from(deployment.month_end_rate(customer))
            / f64::from(deployment::MONTH_END_FACTOR);
        let plan_rate =
            f64::from(deployment.month_end_rate(customer) * deployment.rate_percent) / 100.0;
        let total = match setup.load {
            load::Load::MonthEnd => ordinary * f64::from(deployment::MONTH_END_FACTOR),
            load::Load::OneOverRate
                if excluded_customer(deployment, setup.load) == Some(customer) =>
            {
                plan_rate * 5.0
            }
            load::Load::OneOverRate => ordinary * f64::from(deployment::MONTH_END_FACTOR) / 2.0,
            _ => ordinary,
        };
        for service in 0..services {
            for session in 0..sessions {
                let number = tasks.len();
                let home = home_vm(customer, session, sessions, client_links.len());
                let urls = (0..client_links.len())
                    .map(|i| {
                        url(
                            deployment,
                            client_links[(home + i) % client_links.len()],
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
                    write_percent: deployment.writes_percent,
                    first_id: i32::try_from(number).unwrap_or(0) * IDS_PER_SESSION,
                    seed: number as u64,
                });
            }
        }
    }
    tasks
}

/// Position of the VM to which a session connects first: 80% of a customer's
/// sessions connect to a fifth of the VMs.
fn home_vm(customer: usize, session: usize, sessions: usize, vms: usize) -> usize {
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

fn record_replica_share(cluster: &testbed::Cluster, before: (u64, u64), row: &mut report::Row) {
    let after = count_reads(cluster);
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    row.replica_percent = replica as f64 * 100.0 / (replica + primary).max(1) as f64;
}

/// Injects the fault of a load and records when primaries were killed.
struct FaultInjector<'a> {
    deployment: &'a deployment::Deployment,
    client_links: &'a [net::SocketAddr],
    losses: Vec<time::Instant>,
}

impl FaultInjector<'_> {
    fn inject(
        &mut self,
        cluster: &mut testbed::Cluster,
        setup: Setup,
        row: &mut report::Row,
    ) -> Result<(), failure::Failure> {
        match setup.load {
            load::Load::PrimaryLost => self.kill_primaries(cluster, setup.losses),
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
                self.apply_note(cluster, &note, row)?;
            }
            load::Load::ReleaseNote => {
                for i in 0..10 {
                    let note = format!(
                        "note: extra-{i}\nadded:\n  customers: [{{name: extra-{i}, rate: 1, burst: 1}}]\n"
                    );
                    self.apply_note(cluster, &note, row)?;
                    thread::sleep(setup.span / 20);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn apply_note(
        &self,
        cluster: &testbed::Cluster,
        note: &str,
        row: &mut report::Row,
    ) -> Result<(), failure::Failure> {
        let started = time::Instant::now();
        cluster.apply_note(note)?;
        let took = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        row.in_force_ms.push(took);
        Ok(())
    }

    fn kill_primaries(&mut self, cluster: &testbed::Cluster, losses: usize) {
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

    /// Replaces each VM in turn: starts a new VM, waits until its daemon is ready,
    /// moves the clients to it and stops the old VM.
    fn replace_vms(&self, cluster: &mut testbed::Cluster) -> Result<(), failure::Failure> {
        for (i, client_link) in self.client_links.iter().enumerate() {
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
                .move_link(*client_link, cluster.daemon(index).caller_address());
            cluster.stop_vm(i);
            cluster.publish_vms(time::Duration::ZERO);
        }
        Ok(())
    }
}

/// Times from each loss to the next acknowledged write on the first service.
fn write_gaps(results: &[worker::SessionResult], losses: &[time::Instant]) -> Vec<u64> {
    let writes: Vec<_> = results
        .iter()
        .filter(|session| session.task.service == 0)
        .flat_map(|session| &session.acknowledged)
        .map(|(_, at)| *at)
        .collect();
    // The answer to a write sent before the loss may still arrive after it.
    let settle_time = time::Duration::from_millis(100);
    losses
        .iter()
        .map(|loss| {
            let next = writes.iter().filter(|at| **at > *loss + settle_time).min();
            let gap = next.map_or(GAP_LIMIT, |at| *at - *loss);
            u64::try_from(gap.as_millis()).unwrap_or(u64::MAX)
        })
        .collect()
}

fn check_databases(
    cluster: &testbed::Cluster,
    deployment: &deployment::Deployment,
    results: &[worker::SessionResult],
    row: &mut report::Row,
) -> Result<(), failure::Failure> {
    let vm = (0..cluster.vm_count())
        .rfind(|vm| cluster.is_running(*vm))
        .unwrap_or(0);
    for service in 0..deployment.services.len() {
        let mut client = Client::connect(&cluster.url(vm, 0, service), NoTls)?;
        let rows = client.query("SELECT id FROM orders", &[])?;
        let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
        let own: Vec<_> = results
            .iter()
            .filter(|s| s.task.service == service)
            .collect();
        row.check_orders(&own, &ids);
    }
    for instance in cluster.groups.iter().flat_map(|group| group.instances()) {
        let bytes = instance.recorded();
        let key = b"key-of-customer-";
        row.key_seen += u64::from(bytes.windows(key.len()).any(|window| window == key));
    }
    Ok(())
}
