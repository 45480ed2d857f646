//! A daemon of either dialect with the services that it needs, and the bytes that its
//! callers send.

use std::{
    fs, io,
    io::{Read, Write},
    net, process, sync, time,
};

use crate::{process as daemon, rig};

/// Customer of the crowds, and its key.
const CROWD: (&str, &str) = ("acme", rig::KEY);
/// Customer of the ordinary caller, and its key.
const ORDINARY: (&str, &str) = ("zeta", "k3yzeta");
/// Time for which a member of a crowd waits to read or write.
const PATIENCE: time::Duration = time::Duration::from_secs(5);

/// Limits of the tests, lower than in service.
fn limits() -> String {
    format!(
        "limits: {{sessions: {}, memory: {}, startup: 3s, receive: 3s, send: 3s, idle: 2s, \
         wait: 3s}}\n",
        daemon::SESSIONS,
        daemon::MEMORY_BYTES >> 20
    )
}

fn addresses() -> &'static str {
    "vm: vm-1\naddress: 127.0.0.1\nlisten: 127.0.0.1:0\npeer: 127.0.0.1:0\nadmin: 127.0.0.1:0\n"
}

fn tls() -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/clients");
    format!("tls: {{certificate: {folder}/certificate.pem, key: {folder}/key.pem}}\n")
}

/// Protocol of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    Line,
    Postgres,
}

/// Services that a daemon uses.
enum Services {
    Line(#[allow(dead_code)] Box<rig::Rig>),
    Postgres(
        #[allow(dead_code)] sync::Arc<standin::Platform>,
        #[allow(dead_code)] sync::Arc<standin::Group>,
    ),
}

/// Daemon under test.
pub struct Target {
    pub dialect: Dialect,
    pub daemon: daemon::Daemon,
    rest_bytes: u64,
    _services: Services,
}

impl Target {
    /// Starts a daemon and its services, and waits until the daemon serves.
    pub fn start(dialect: Dialect) -> Self {
        let (daemon, services) = match dialect {
            Dialect::Line => start_line(),
            Dialect::Postgres => start_postgres(),
        };
        let mut target = Self {
            dialect,
            daemon,
            rest_bytes: 0,
            _services: services,
        };
        target.serve_ordinary("at rest");
        target.rest_bytes = target.daemon.resident_bytes();
        target
    }

    /// Checks the process while a crowd is there, and that an ordinary request is
    /// answered.
    pub fn check(&mut self, moment: &str) {
        self.daemon.check(moment);
        self.serve_ordinary(moment);
        self.daemon.check(moment);
    }

    /// The same after the crowd has left; memory must also return.
    pub fn check_left(&mut self) {
        self.check("after the crowd");
        let bound = self.rest_bytes + daemon::RETAINED_BYTES;
        let daemon = &self.daemon;
        daemon::wait_until("memory returns", || daemon.resident_bytes() <= bound);
    }

    /// Answers one ordinary request, which may be repeated.
    fn serve_ordinary(&self, moment: &str) {
        daemon::wait_until(moment, || {
            self.try_ordinary().is_ok_and(|answered| answered)
        });
    }

    fn try_ordinary(&self) -> io::Result<bool> {
        let mut caller = self.log_in(ORDINARY)?;
        caller.write_all(&self.request(8))?;
        self.read_success(&mut caller)
    }

    /// Connects and sends nothing.
    pub fn connect(&self) -> io::Result<net::TcpStream> {
        connect(self.daemon.listen)
    }

    /// Bytes that start a session, for the line protocol up to the key.
    pub fn startup(&self) -> Vec<u8> {
        match self.dialect {
            Dialect::Line => format!("STARTUP own {}\r\n", CROWD.1).into_bytes(),
            Dialect::Postgres => postgres_startup(CROWD.0),
        }
    }

    /// Opens a session of the crowd.
    pub fn join(&self) -> io::Result<net::TcpStream> {
        self.log_in(CROWD)
    }

    fn log_in(&self, (customer, key): (&str, &str)) -> io::Result<net::TcpStream> {
        let mut caller = self.connect()?;
        match self.dialect {
            Dialect::Line => {
                caller.write_all(format!("STARTUP own {key}\r\n").as_bytes())?;
                read_until(&mut caller, b"READY I -\r\n")?;
            }
            Dialect::Postgres => {
                caller.write_all(&postgres_startup(customer))?;
                // The request for a key: R, 8, 3.
                caller.read_exact(&mut [0; 9])?;
                caller.write_all(&frame(b'p', format!("{key}\0").as_bytes()))?;
                read_until(&mut caller, &[b'Z', 0, 0, 0, 5, b'I'])?;
            }
        }
        Ok(caller)
    }

    /// Complete request whose message has about this size; its answer is as large on
    /// PostgreSQL.
    pub fn request(&self, size: usize) -> Vec<u8> {
        let text = "a".repeat(size);
        match self.dialect {
            Dialect::Line => format!("QUERY q1 READ {text}\r\n").into_bytes(),
            Dialect::Postgres => frame(b'Q', format!("SELECT '{text}'\0").as_bytes()),
        }
    }

    /// Request whose answer has about this size.
    pub fn large_read(&self, size: usize) -> Vec<u8> {
        if self.dialect == Dialect::Postgres {
            return self.request(size);
        }
        let text = "a".repeat(size);
        daemon::wait_until("an item is written", || {
            let written = self.log_in(ORDINARY).and_then(|mut caller| {
                caller.write_all(format!("QUERY q1 WRITE big {text}\r\n").as_bytes())?;
                self.read_success(&mut caller)
            });
            written.is_ok_and(|written| written)
        });
        b"QUERY q1 READ big\r\n".to_vec()
    }

    /// Statement that opens a transaction, and one in it.
    pub fn transaction(&self) -> [Vec<u8>; 2] {
        match self.dialect {
            Dialect::Line => ["QUERY q1 BEGIN\r\n", "QUERY q2 READ a\r\n"].map(|t| t.into()),
            Dialect::Postgres => ["BEGIN\0", "SELECT 1\0"].map(|t| frame(b'Q', t.as_bytes())),
        }
    }

    /// Statement that ends a transaction.
    pub fn commit(&self) -> Vec<u8> {
        match self.dialect {
            Dialect::Line => b"QUERY q3 COMMIT\r\n".to_vec(),
            Dialect::Postgres => frame(b'Q', b"COMMIT\0"),
        }
    }

    /// Reads the answer to a statement in a transaction; returns whether it succeeded.
    pub fn read_complete(&self, caller: &mut net::TcpStream) -> io::Result<bool> {
        let (ready, error): (&[u8], &[u8]) = match self.dialect {
            Dialect::Line => (b"\r\nREADY ", b"ERROR"),
            Dialect::Postgres => (&[b'Z', 0, 0, 0, 5], b"SERROR"),
        };
        let answer = read_until(caller, ready)?;
        Ok(!answer.windows(error.len()).any(|part| part == error))
    }

    /// Request that keeps `size` bytes under a name of the session.
    pub fn preparation(&self, number: usize, size: usize) -> Vec<u8> {
        let text = "a".repeat(size);
        match self.dialect {
            Dialect::Line => format!("QUERY q1 PREPARE n{number} READ {text}\r\n").into_bytes(),
            Dialect::Postgres => {
                let parse = format!("n{number}\0SELECT '{text}'\0\0\0");
                [frame(b'P', parse.as_bytes()), frame(b'S', b"")].concat()
            }
        }
    }

    /// Request that sets a value of the session to one of `size` bytes.
    pub fn setting(&self, number: usize, size: usize) -> Vec<u8> {
        let text = "a".repeat(size);
        match self.dialect {
            Dialect::Line => format!("QUERY q1 SET v{number} {text}\r\n").into_bytes(),
            Dialect::Postgres => frame(b'Q', format!("SET a.v{number} = '{text}'\0").as_bytes()),
        }
    }

    /// Start of a message that declares far more than the limit; the line protocol
    /// declares nothing.
    pub fn oversized_start(&self) -> Vec<u8> {
        match self.dialect {
            Dialect::Line => b"QUERY q1 READ ".to_vec(),
            Dialect::Postgres => vec![b'Q', 0x20, 0, 0, 0],
        }
    }

    /// Reads an answer; returns whether the request succeeded.
    pub fn read_success(&self, caller: &mut net::TcpStream) -> io::Result<bool> {
        let ready: &[u8] = match self.dialect {
            Dialect::Line => b"READY I",
            Dialect::Postgres => &[b'Z', 0, 0, 0, 5, b'I'],
        };
        let answer = read_until(caller, ready)?;
        let complete: &[u8] = match self.dialect {
            Dialect::Line => b"COMPLETE",
            Dialect::Postgres => b"SELECT 1\0",
        };
        Ok(answer.windows(complete.len()).any(|part| part == complete))
    }
}

/// Connects with limits on each read and write.
pub fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let socket = net::TcpStream::connect(address)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    socket.set_write_timeout(Some(PATIENCE))?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("a short message");
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

fn postgres_startup(customer: &str) -> Vec<u8> {
    let body = format!("\0\x03\0\0user\0{customer}\0database\0own\0\0");
    let length = u32::try_from(body.len() + 4).expect("a short message");
    [&length.to_be_bytes()[..], body.as_bytes()].concat()
}

/// Reads until the bytes read contain `end`.
fn read_until(caller: &mut net::TcpStream, end: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let count = caller.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let scanned = bytes.len().saturating_sub(end.len());
        bytes.extend_from_slice(&part[..count]);
        if bytes[scanned..].windows(end.len()).any(|part| part == end) {
            return Ok(bytes);
        }
    }
}

fn start_line() -> (daemon::Daemon, Services) {
    let rig = rig::Rig::start(0);
    let store = rig.store.address();
    let settings = format!(
        "{}domain: zone-a\nregion: here\ndomains: {{zone-a: here}}\nplatform: table://{store}\n\
         orders: duty://{store}\ndialect: line\n{}timing: {{lease: 3500ms, poll: 3s, \
         suspect: 600ms, gossip: 500ms, refusal: 4500ms, stop: 4s, drain: 6s, tick: 10ms}}\n\
         policy: {{arbiter: store}}\n",
        addresses(),
        limits()
    );
    (
        daemon::Daemon::start(&settings),
        Services::Line(Box::new(rig)),
    )
}

fn start_postgres() -> (daemon::Daemon, Services) {
    let platform = standin::Platform::start().expect("the platform starts");
    let instances = vec![standin::InstanceSetup::default(); 3];
    let delays = Vec::new();
    let group = standin::Group::start(standin::GroupSetup { instances, delays });
    let group = group.expect("the group starts");
    let settings = format!(
        "{}domain: domain-1\nregion: home\nplatform: http://{}\n\
         credentials: {{user: proxy, password: proxy-password}}\n{}{}\
         timing: {{platform: 300ms, lease: 20s, suspect: 20s, refusal: 20s}}\n",
        addresses(),
        platform.address(),
        tls(),
        limits()
    );
    let daemon = daemon::Daemon::start(&settings);
    let vm = standin::Vm {
        name: "vm-1".into(),
        domain: "domain-1".into(),
        region: "home".into(),
        peer: daemon.peer.to_string(),
        leaving: false,
    };
    platform.set_vms(vec![vm], time::Duration::ZERO);
    apply_note(&daemon, &group);
    (daemon, Services::Postgres(platform, group))
}

fn apply_note(daemon: &daemon::Daemon, group: &standin::Group) {
    let mut text = "note: first\nadded:\n  customers:\n".to_string();
    for (name, key) in [CROWD, ORDINARY] {
        let digest: String = config::KeyDigest::of(key.as_bytes()).into();
        text += &format!(
            "    - {{name: {name}, rate: 100000, burst: 100000, keys: [{{name: first, \
             digest: \"{digest}\"}}]}}\n"
        );
    }
    text += "  routes:\n    - {name: own, group: orders, database: orders, customers: [acme, zeta]}\n  \
             groups:\n    - name: orders\n      instances:\n";
    for (i, instance) in group.instances().iter().enumerate() {
        let address = instance.address();
        text += &format!(
            "        - {{name: orders-{i}, address: \"{address}\", domain: domain-{i}, connections: 16}}\n"
        );
    }
    let file = std::env::temp_dir().join(format!("ebonygauge-note-{}.yaml", process::id()));
    fs::write(&file, text).expect("the note is written");
    let admin = daemon.admin.to_string();
    daemon::wait_until("the note is applied", || {
        let applied = process::Command::new(env!("CARGO_BIN_EXE_ebonygauge"))
            .args(["apply", file.to_str().expect("a plain path")])
            .args(["--admin", &admin])
            .output()
            .expect("the command runs");
        applied.status.success()
    });
    let _ = fs::remove_file(&file);
}
