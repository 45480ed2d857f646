//! Threads of a simulated network: their number does not grow with connections, and
//! they end with the network. The only test of its process, as it counts threads.

use std::{
    fs,
    io::{Read, Write},
    net, thread, time,
};

/// Links of the network.
const LINKS: usize = 10;
/// Connections through each link.
const CONNECTIONS: usize = 10;

/// Threads of this process, where the system tells.
fn count_threads() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let count = status.lines().find_map(|l| l.strip_prefix("Threads:"))?;
    count.trim().parse().ok()
}

/// Moves a byte in each direction.
fn exchange(pair: &mut [net::TcpStream; 2]) {
    for (from, to) in [(0, 1), (1, 0)] {
        let mut byte = [0];
        pair[from].write_all(&[7]).expect("the byte is sent");
        pair[to].read_exact(&mut byte).expect("the byte arrives");
        assert_eq!(byte, [7]);
    }
}

#[test]
fn threads_do_not_grow_with_connections_and_end_with_the_network() {
    let loopback = (net::Ipv4Addr::LOCALHOST, 0);
    let target = net::TcpListener::bind(loopback).expect("a port is free");
    let address = target.local_addr().expect("the target has an address");
    let delay = time::Duration::from_millis(1);
    let network = standin::Network::new(delay, delay, 1 << 40).expect("the network starts");
    let site = standin::Site {
        region: "home".into(),
        domain: "domain-1".into(),
    };
    let links: Vec<_> = (0..LINKS)
        .map(|_| network.link(address, site.clone()).expect("the link opens"))
        .collect();
    let open = |link| {
        let caller = net::TcpStream::connect(link).expect("the link accepts");
        let (server, _) = target.accept().expect("the link reaches the target");
        let mut pair = [caller, server];
        exchange(&mut pair);
        pair
    };
    let mut pairs = vec![open(links[0])];
    let few = count_threads();
    for link in &links {
        pairs.extend((0..CONNECTIONS).map(|_| open(*link)));
    }
    pairs.iter_mut().for_each(exchange);
    let many = count_threads();
    assert_eq!(many, few, "threads with 101 connections and with one");
    drop(network);
    for [caller, server] in &mut pairs {
        assert!(!matches!(caller.read(&mut [0]), Ok(1..)));
        assert!(!matches!(server.read(&mut [0]), Ok(1..)));
    }
    while few.is_some() && count_threads() >= few {
        thread::yield_now();
    }
}
