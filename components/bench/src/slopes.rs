//! Slopes for the capacity page: what one more of something costs.
//!
//! The kernel is driven without sockets, so the figures are those of its own
//! state and processor time; sessions are counted on a real daemon.

use std::{fs, hint, io::Read, io::Write, net, sync, time};

use kernel::{event, message};
use serde::Serialize;

use crate::failure;

/// Ticks over which a point is averaged.
const TICKS: u32 = 200;

/// One point of a fit.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Point {
    /// How many there were.
    pub count: u64,
    /// What they cost together.
    pub cost: f64,
}

/// Cost of one more, fitted to points.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Slope {
    /// What was counted and measured, with the unit.
    pub name: &'static str,
    /// Cost of one more.
    pub each: f64,
    /// Cost of none.
    pub base: f64,
    /// Points of the fit.
    pub points: Vec<Point>,
}

fn fit(name: &'static str, points: Vec<Point>) -> Slope {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.count as f64).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.cost).sum::<f64>() / n;
    let over = |p: &Point| (p.count as f64 - mean_x) * (p.cost - mean_y);
    let under = |p: &Point| (p.count as f64 - mean_x).powi(2);
    let each = points.iter().map(over).sum::<f64>() / points.iter().map(under).sum::<f64>();
    Slope {
        name,
        each,
        base: mean_y - each * mean_x,
        points,
    }
}

/// Measures all slopes.
pub fn measure() -> Result<Vec<Slope>, failure::Failure> {
    let mut slopes = vec![
        over(&[8, 64, 256, 1024], "us of a tick a peer", |n| {
            tick(n, 1, 8)
        }),
        over(&[8, 64, 256, 1024], "us of a pong a VM reported", pong),
        over(&[8, 64, 256, 1024], "bytes of a report a VM", report_bytes),
        over(&[10, 100, 400], "us of a tick a group", |n| tick(4, n, 8)),
        over(&[10, 100, 1000], "us of a tick a customer", |n| {
            tick(4, 1, n)
        }),
        over(
            &[100, 1000, 4000],
            "us of adopting a note a customer",
            adopt,
        ),
        over(&[100, 1000, 4000], "bytes of a snapshot a customer", |n| {
            snapshot_bytes(1, n)
        }),
        over(&[10, 100, 400], "bytes of a snapshot a group", |n| {
            snapshot_bytes(n, 8)
        }),
        over(&[10, 100, 400], "KB of kernel memory a group", |n| {
            memory(4, n, 8)
        }),
        over(&[100, 1000, 4000], "KB of kernel memory a customer", |n| {
            memory(4, 1, n)
        }),
        over(&[64, 256, 1024], "KB of kernel memory a peer", |n| {
            memory(n, 1, 8)
        }),
        over(
            &[1000, 4000, 16_000],
            "us of a request pair, by count",
            requests,
        ),
    ];
    slopes.push(sessions()?);
    Ok(slopes)
}

fn over(counts: &[u64], name: &'static str, cost: impl Fn(u64) -> f64) -> Slope {
    let point = |count: &u64| Point {
        count: *count,
        cost: cost(*count),
    };
    fit(name, counts.iter().map(point).collect())
}

fn name(raw: &str) -> config::Name {
    config::Name::try_from(raw).expect("a plain name")
}

fn fleet(groups: u64, customers: u64) -> config::Fleet {
    use std::fmt::Write;
    let mut text = String::from("note: first\nadded:\n  groups:\n");
    for g in 0..groups {
        let _ = writeln!(text, "    - name: g{g}\n      instances:");
        for i in 0..3 {
            let _ = writeln!(
                text,
                "        - {{name: g{g}-{i}, address: \"127.0.0.1:1\", domain: d{i}, connections: 2000000}}"
            );
        }
    }
    let _ = writeln!(text, "  customers:");
    for c in 0..customers {
        let digest: String = config::KeyDigest::of(format!("key-{c}").as_bytes()).into();
        let _ = writeln!(
            text,
            "    - {{name: c{c}, rate: 100, burst: 100, keys: [{{name: k, digest: \"{digest}\"}}]}}"
        );
    }
    let _ = writeln!(
        text,
        "  routes:\n    - {{name: r, group: g0, database: d, customers: [c0]}}"
    );
    let origin = config::Origin("slopes".into());
    let note = config::read_note(&text, &origin).expect("a valid note");
    note.apply(&config::Fleet::default())
        .expect("a fitting note")
}

fn vms(count: u64) -> Vec<event::Vm> {
    let vm = |i| event::Vm {
        name: name(&format!("vm-{i}")),
        domain: name(&format!("d{}", i % 3)),
        region: name("home"),
        peer: "127.0.0.1:1".into(),
        leaving: false,
    };
    (0..count).map(vm).collect()
}

/// A kernel with a configuration, and its clock.
fn start(peers: u64, groups: u64, customers: u64) -> (kernel::Daemon, kernel::time::Time) {
    let plan = testbed::Plan::small();
    let setup = kernel::Setup {
        vm: name("vm-0"),
        domain: name("d0"),
        region: name("home"),
        domain_regions: std::collections::BTreeMap::new(),
        peer_address: String::new(),
        incarnation: 1,
        timing: plan.timing,
        limits: plan.limits,
        policy: plan.policy,
    };
    let now = kernel::time::Time::from_ms(1000);
    let mut kernel = kernel::Daemon::new(setup, now).expect("known policies");
    kernel.handle(now, event::Event::VmsListed(vms(peers)));
    let head = event::ConfigHead {
        revision: 1,
        recent: Vec::new(),
        fleet: sync::Arc::new(fleet(groups, customers)),
    };
    let snapshot = message::Message::Snapshot(sync::Arc::new(head));
    kernel.handle(now, event::Event::MessageReceived(name("vm-1"), snapshot));
    (kernel, now)
}

fn step(now: kernel::time::Time, count: u32) -> kernel::time::Time {
    now + time::Duration::from_millis(2) * count
}

fn tick(peers: u64, groups: u64, customers: u64) -> f64 {
    let (mut kernel, now) = start(peers, groups, customers);
    let begun = time::Instant::now();
    for i in 0..TICKS {
        hint::black_box(kernel.handle(step(now, i), event::Event::Tick));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(TICKS)
}

fn report(vms: u64) -> message::Report {
    let heard = |i| message::PeerState {
        vm: name(&format!("vm-{i}")),
        incarnation: 1,
        age: 1000,
        revision: 1,
        epoch: 0,
    };
    message::Report {
        incarnation: 1,
        revision: 1,
        epoch: 0,
        listed: true,
        heard: (1..vms).map(heard).collect(),
        ..message::Report::default()
    }
}

fn pong(vms: u64) -> f64 {
    let (mut kernel, now) = start(vms, 1, 8);
    let report = report(vms);
    let begun = time::Instant::now();
    for i in 0..TICKS {
        let message = message::Message::Pong(now, report.clone());
        let event = event::Event::MessageReceived(name("vm-1"), message);
        hint::black_box(kernel.handle(step(now, i), event));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(TICKS)
}

fn report_bytes(vms: u64) -> f64 {
    peer::encoded_size(&message::Message::Ping(kernel::time::Time(0), report(vms))) as f64
}

fn adopt(customers: u64) -> f64 {
    let (mut kernel, now) = start(4, 1, customers);
    let text = "note: n\nadded:\n  customers: [{name: extra, rate: 1, burst: 1}]\n";
    let origin = config::Origin("slopes".into());
    let note = config::read_note(text, &origin).expect("a valid note");
    let notes = message::Message::Notes(1, vec![sync::Arc::new(note)]);
    let begun = time::Instant::now();
    hint::black_box(kernel.handle(now, event::Event::MessageReceived(name("vm-1"), notes)));
    begun.elapsed().as_secs_f64() * 1e6
}

fn snapshot_bytes(groups: u64, customers: u64) -> f64 {
    let text = serde_json::to_string(&fleet(groups, customers));
    text.map_or(0, |text| text.len()) as f64
}

/// Resident memory of this process, in KB.
fn resident() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

/// Memory of several equal kernels, for one of them.
fn memory(peers: u64, groups: u64, customers: u64) -> f64 {
    const COPIES: usize = 16;
    let before = resident();
    let kernels: Vec<_> = (0..COPIES)
        .map(|_| start(peers, groups, customers))
        .collect();
    let after = resident();
    drop(hint::black_box(kernels));
    (after - before).max(0.0) / COPIES as f64
}

/// Processor time of all requests of a count, each with its release.
fn requests(count: u64) -> f64 {
    let (mut kernel, now) = start(1, 1, 8);
    let opening = event::SessionRequest {
        session: event::SessionId(1),
        digest: Some(config::KeyDigest::of(b"key-0")),
        route: "r".into(),
        token: None,
    };
    kernel.handle(now, event::Event::SessionRequested(opening));
    let begun = time::Instant::now();
    for i in 0..count {
        let id = event::RequestId(i + 1);
        let request = event::Request {
            id,
            session: event::SessionId(1),
            access: event::Access::Read,
            retry: true,
        };
        hint::black_box(kernel.handle(now, event::Event::ConnectionRequested(request)));
        let release = event::Event::ConnectionReleased(id, event::RequestOutcome::Uncommitted);
        hint::black_box(kernel.handle(now, release));
    }
    begun.elapsed().as_secs_f64() * 1e6
}

/// Memory of idle sessions on a real daemon.
fn sessions() -> Result<Slope, failure::Failure> {
    let mut plan = testbed::Plan::small();
    plan.vms.truncate(1);
    let cluster = testbed::Cluster::start(plan)?;
    let address = cluster.daemon(0).caller_address();
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in [250, 500, 1000, 2000] {
        while open.len() < count {
            open.extend(idle(address));
        }
        points.push(Point {
            count: count as u64,
            cost: resident(),
        });
    }
    Ok(fit("KB of memory an idle session", points))
}

/// A session that has logged in and does nothing.
fn idle(address: net::SocketAddr) -> Option<net::TcpStream> {
    let mut socket = net::TcpStream::connect(address).ok()?;
    let body = b"\x00\x03\x00\x00user\0tienda\0database\0orders\0\0";
    let key = b"key-of-tienda-7f31\0";
    let length = |n: usize| u32::try_from(n + 4).unwrap_or(0).to_be_bytes();
    socket.write_all(&length(body.len())).ok()?;
    socket.write_all(body).ok()?;
    socket.write_all(b"p").ok()?;
    socket.write_all(&length(key.len())).ok()?;
    socket.write_all(key).ok()?;
    let mut last = [0; 1024];
    let mut end = false;
    while !end {
        let count = socket.read(&mut last).ok().filter(|count| *count > 0)?;
        end = last[..count].ends_with(b"Z\x00\x00\x00\x05I");
    }
    Some(socket)
}
