//! What a simulated network does with the bytes of its connections: delays, rates,
//! cuts, ends and moves. Delays are zero or longer than any test, so that no outcome
//! depends on the speed of the machine.

use std::{
    io::{self, Read, Write},
    net, sync, thread, time,
};

/// Delay that no test lives to see.
const ENDLESS: time::Duration = time::Duration::from_secs(3600);
/// Delay of a link whose bytes arrive during a test.
const SHORT: time::Duration = time::Duration::from_millis(3);
/// Bytes a second that hold nothing up.
const FAST: u64 = 1 << 40;
/// Bytes that are more than a link and its sockets hold.
const BULK: usize = 24 << 20;
/// Exchanges on another link that give held bytes the time to arrive.
const PROBES: usize = 20;

/// Two connected sockets with a network between them.
struct Pair {
    caller: net::TcpStream,
    server: net::TcpStream,
}

/// A server whose connections the test accepts.
struct Target(net::TcpListener);

impl Target {
    fn new() -> Self {
        let loopback = (net::Ipv4Addr::LOCALHOST, 0);
        Self(net::TcpListener::bind(loopback).expect("a port is free"))
    }

    fn address(&self) -> net::SocketAddr {
        self.0.local_addr().expect("the target has an address")
    }

    fn open(&self, link: net::SocketAddr) -> Pair {
        let caller = net::TcpStream::connect(link).expect("the link accepts");
        let (server, _) = self.0.accept().expect("the link reaches the target");
        Pair { caller, server }
    }
}

fn site(region: &str, domain: &str) -> standin::Site {
    standin::Site {
        region: region.into(),
        domain: domain.into(),
    }
}

/// A source address, one for each number.
fn source(last: u8) -> net::IpAddr {
    net::Ipv4Addr::new(127, 0, 1, last).into()
}

/// A network with callers at `source(1)` in `home`, `domain-1`.
fn start(near: time::Duration, far: time::Duration, rate: u64) -> sync::Arc<standin::Network> {
    let network = standin::Network::new(near, far, rate).expect("the network starts");
    network.place(source(1), site("home", "domain-1"));
    network
}

/// Opens a link for callers at `source(1)`.
fn link(
    network: &sync::Arc<standin::Network>,
    target: &Target,
    to: standin::Site,
) -> net::SocketAddr {
    let link = network.link_from(target.address(), to, Some(source(1)));
    link.expect("the link opens")
}

/// Bytes of a fixed pseudorandom sequence (xorshift).
fn sequence(length: usize) -> Vec<u8> {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()[0]
    };
    std::iter::repeat_with(next).take(length).collect()
}

fn send(socket: &mut net::TcpStream, bytes: &[u8]) {
    socket.write_all(bytes).expect("the bytes are sent");
}

fn assert_arrives(socket: &mut net::TcpStream, bytes: &[u8]) {
    let mut got = vec![0; bytes.len()];
    socket.read_exact(&mut got).expect("the bytes arrive");
    assert!(got == bytes, "the bytes differ from those sent");
}

/// Asserts that exactly these bytes arrive before the end of the direction.
fn assert_rest(socket: &mut net::TcpStream, bytes: &[u8]) {
    let mut got = Vec::new();
    socket.read_to_end(&mut got).expect("the direction ends");
    assert_eq!(got.len(), bytes.len());
    assert!(got == bytes, "the bytes differ from those sent");
}

/// Asserts that nothing arrives, not even an end.
fn assert_silent(socket: &net::TcpStream) {
    socket.set_nonblocking(true).expect("the mode changes");
    let outcome = socket.peek(&mut [0]);
    socket.set_nonblocking(false).expect("the mode changes");
    let kind = outcome.expect_err("nothing arrives").kind();
    assert_eq!(kind, io::ErrorKind::WouldBlock);
}

/// Asserts that the connection has ended, in order or by a reset.
fn assert_closed(socket: &mut net::TcpStream) {
    let outcome = socket.read(&mut [0]);
    assert!(!matches!(outcome, Ok(1..)), "a byte arrives");
}

impl Pair {
    /// Moves bytes in both directions, many times.
    fn probe(&mut self) {
        for i in 0..PROBES {
            let byte = [u8::try_from(i).unwrap_or(0)];
            send(&mut self.caller, &byte);
            assert_arrives(&mut self.server, &byte);
            send(&mut self.server, &byte);
            assert_arrives(&mut self.caller, &byte);
        }
    }
}

#[test]
fn delays_depend_on_both_sites() {
    let target = Target::new();
    let cases = [
        (time::Duration::ZERO, ENDLESS, site("away", "domain-2")),
        (ENDLESS, time::Duration::ZERO, site("home", "domain-2")),
    ];
    for (near, far, slow) in cases {
        let network = start(near, far, FAST);
        let mut held = target.open(link(&network, &target, slow.clone()));
        send(&mut held.caller, &[1]);
        send(&mut held.server, &[1]);
        let mut same = target.open(link(&network, &target, site("home", "domain-1")));
        same.probe();
        let other = if slow.region == "home" {
            "away"
        } else {
            "home"
        };
        let mut quick = target.open(link(&network, &target, site(other, "domain-2")));
        quick.probe();
        // A caller at no known site.
        let open = network
            .link(target.address(), slow)
            .expect("the link opens");
        target.open(open).probe();
        assert_silent(&held.caller);
        assert_silent(&held.server);
    }
}

#[test]
fn bulk_arrives_whole_and_in_order_in_both_directions() {
    let target = Target::new();
    for delay in [time::Duration::ZERO, SHORT] {
        let network = start(delay, delay, FAST);
        let Pair { caller, server } =
            target.open(link(&network, &target, site("home", "domain-2")));
        let bytes = sequence(BULK);
        thread::scope(|scope| {
            for (writer, reader) in [(&caller, &server), (&server, &caller)] {
                let bytes = &bytes;
                scope.spawn(move || {
                    let mut writer = writer;
                    let mut rest = bytes.as_slice();
                    for length in (1..).step_by(977) {
                        let (chunk, later) = rest.split_at(rest.len().min(length));
                        writer.write_all(chunk).expect("the bytes are sent");
                        rest = later;
                        if rest.is_empty() {
                            break;
                        }
                    }
                });
                scope.spawn(move || {
                    let mut reader = reader;
                    let mut got = vec![0; bytes.len()];
                    reader.read_exact(&mut got).expect("the bytes arrive");
                    assert!(got == *bytes, "the bytes differ from those sent");
                });
            }
        });
    }
}

#[test]
fn a_slow_receiver_holds_up_only_its_own_connection() {
    let target = Target::new();
    let network = start(time::Duration::ZERO, time::Duration::ZERO, FAST);
    let address = link(&network, &target, site("home", "domain-2"));
    let Pair {
        mut caller,
        mut server,
    } = target.open(address);
    let bytes = sequence(BULK);
    thread::scope(|scope| {
        let writer = scope.spawn(|| {
            send(&mut caller, &bytes);
            caller
                .shutdown(net::Shutdown::Write)
                .expect("the end is sent");
        });
        target.open(address).probe();
        assert!(!writer.is_finished(), "the network stores all bytes");
        assert_rest(&mut server, &bytes);
    });
}

#[test]
fn connections_between_two_regions_share_a_rate() {
    let target = Target::new();
    let network = start(time::Duration::ZERO, time::Duration::ZERO, 100);
    let address = link(&network, &target, site("away", "domain-2"));
    let (mut first, mut second) = (target.open(address), target.open(address));
    let bytes = sequence(1 << 15);
    let wait_far = |count: usize| {
        while network.far_bytes() < count as u64 {
            thread::yield_now();
        }
    };
    send(&mut first.caller, &bytes);
    wait_far(bytes.len());
    send(&mut second.caller, &[1]);
    wait_far(bytes.len() + 1);
    // The other direction has a line of its own, and a region has none to itself.
    send(&mut second.server, &[2]);
    assert_arrives(&mut second.caller, &[2]);
    target
        .open(link(&network, &target, site("home", "domain-2")))
        .probe();
    assert_silent(&first.server);
    assert_silent(&second.server);
}

#[test]
fn only_bytes_between_regions_are_counted() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    let mut near = target.open(link(&network, &target, site("home", "domain-2")));
    near.probe();
    assert_eq!(network.far_bytes(), 0);
    let mut far = target.open(link(&network, &target, site("away", "domain-2")));
    far.probe();
    assert_eq!(network.far_bytes(), 2 * PROBES as u64);
}

#[test]
fn a_cut_link_holds_bytes_until_it_is_restored() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    let to = || site("home", "domain-2");
    let cut: Vec<_> = (0..3).map(|_| link(&network, &target, to())).collect();
    let mut held: Vec<_> = cut.iter().map(|link| target.open(*link)).collect();
    let mut open = target.open(link(&network, &target, to()));
    held.iter_mut().for_each(Pair::probe);
    for _ in 0..3 {
        for link in &cut {
            network.cut(source(1), *link, true);
        }
        // The cut of another source and a cut of a link twice change nothing.
        network.cut(source(2), cut[0], true);
        network.cut(source(2), cut[0], false);
        network.cut(source(1), cut[0], true);
        for (i, pair) in held.iter_mut().enumerate() {
            let byte = u8::try_from(i).unwrap_or(0);
            send(&mut pair.caller, &[byte, 1]);
            send(&mut pair.server, &[byte, 2]);
            send(&mut pair.caller, &[byte, 3]);
        }
        for i in 0..cut.len() {
            open.probe();
            for pair in &held[i..] {
                assert_silent(&pair.caller);
                assert_silent(&pair.server);
            }
            network.cut(source(1), cut[i], false);
            let byte = u8::try_from(i).unwrap_or(0);
            assert_arrives(&mut held[i].server, &[byte, 1, byte, 3]);
            assert_arrives(&mut held[i].caller, &[byte, 2]);
        }
        held.iter_mut().for_each(Pair::probe);
    }
}

#[test]
fn a_connection_opened_during_a_cut_works_after_it() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    let address = link(&network, &target, site("home", "domain-2"));
    network.cut(source(1), address, true);
    let mut pair = target.open(address);
    send(&mut pair.caller, &[1]);
    let other = link(&network, &target, site("home", "domain-2"));
    target.open(other).probe();
    assert_silent(&pair.server);
    network.cut(source(1), address, false);
    assert_arrives(&mut pair.server, &[1]);
    pair.probe();
}

#[test]
fn cut_regions_hold_bytes_until_they_are_joined() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    let away = link(&network, &target, site("away", "domain-2"));
    let mut held = target.open(away);
    let mut open = target.open(link(&network, &target, site("abroad", "domain-3")));
    let mut near = target.open(link(&network, &target, site("home", "domain-2")));
    for (a, b) in [("home", "away"), ("away", "home")] {
        held.probe();
        network.cut_regions(a, b, true);
        send(&mut held.caller, &[1, 2]);
        send(&mut held.server, &[3, 4]);
        near.probe();
        open.probe();
        assert_silent(&held.caller);
        assert_silent(&held.server);
        // Bytes stay held until both kinds of cuts are over.
        network.cut(source(1), away, true);
        network.cut_regions(a, b, false);
        near.probe();
        assert_silent(&held.caller);
        assert_silent(&held.server);
        network.cut(source(1), away, false);
        assert_arrives(&mut held.server, &[1, 2]);
        assert_arrives(&mut held.caller, &[3, 4]);
    }
}

#[test]
fn a_close_during_a_cut_loses_no_bytes() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    let address = link(&network, &target, site("home", "domain-2"));
    let Pair { mut caller, server } = target.open(address);
    let mut server = server;
    network.cut(source(1), address, true);
    let bytes = sequence(1 << 16);
    send(&mut caller, &bytes);
    drop(caller);
    let other = link(&network, &target, site("home", "domain-2"));
    target.open(other).probe();
    assert_silent(&server);
    network.cut(source(1), address, false);
    assert_rest(&mut server, &bytes);
}

#[test]
fn the_end_of_a_direction_arrives_after_its_bytes() {
    let target = Target::new();
    for delay in [time::Duration::ZERO, SHORT] {
        let network = start(delay, delay, FAST);
        let address = link(&network, &target, site("home", "domain-2"));
        let bytes = sequence(1 << 16);
        let mut pair = target.open(address);
        pair.probe();
        send(&mut pair.caller, &bytes);
        pair.caller
            .shutdown(net::Shutdown::Write)
            .expect("the end is sent");
        assert_rest(&mut pair.server, &bytes);
        let mut pair = target.open(address);
        pair.probe();
        send(&mut pair.server, &bytes);
        pair.server
            .shutdown(net::Shutdown::Write)
            .expect("the end is sent");
        assert_rest(&mut pair.caller, &bytes);
        let Pair { mut caller, server } = target.open(address);
        drop(server);
        assert_closed(&mut caller);
    }
}

#[test]
fn connections_of_a_source_close_on_both_sides() {
    let target = Target::new();
    let network = start(SHORT, SHORT, FAST);
    network.place(source(2), site("home", "domain-2"));
    let to = site("home", "domain-3");
    let closed = link(&network, &target, to.clone());
    let other = network.link_from(target.address(), to, Some(source(2)));
    let mut other = target.open(other.expect("the link opens"));
    let mut pairs = [target.open(closed), target.open(closed)];
    pairs.iter_mut().for_each(Pair::probe);
    network.close_from(source(1));
    for pair in &mut pairs {
        assert_closed(&mut pair.caller);
        assert_closed(&mut pair.server);
    }
    other.probe();
    // The link goes on with new connections.
    target.open(closed).probe();
}

#[test]
fn a_moved_link_leads_only_new_connections_to_the_new_target() {
    let (old, new) = (Target::new(), Target::new());
    let network = start(SHORT, SHORT, FAST);
    let address = link(&network, &old, site("home", "domain-2"));
    let mut first = old.open(address);
    first.probe();
    network.move_link(address, new.address());
    new.open(address).probe();
    first.probe();
}

#[test]
fn an_unreachable_target_closes_the_caller() {
    let target = Target::new();
    // A port in use at which nothing listens.
    let direct = target.open(target.address());
    let gone = direct.caller.local_addr().expect("the socket is bound");
    let network = start(SHORT, SHORT, FAST);
    let address = network.link_from(gone, site("home", "domain-2"), Some(source(1)));
    let address = address.expect("the link opens");
    for _ in 0..3 {
        let mut caller = net::TcpStream::connect(address).expect("the link accepts");
        assert_closed(&mut caller);
    }
    network.move_link(address, target.address());
    target.open(address).probe();
}
