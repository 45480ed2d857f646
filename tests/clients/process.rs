//! A daemon process of its own, with its memory and descriptors as the system counts them.

use std::{fs, io, io::BufRead, net, path, process, sync::mpsc, thread, time};

/// Time limit of each step that has to happen some time.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Memory of the daemon's VM in these tests; resident memory may never exceed it.
pub const MEMORY_BYTES: u64 = 64 << 20;
/// Resident memory that may remain over that at rest after a crowd has left.
pub const RETAINED_BYTES: u64 = 16 << 20;
/// Sessions that the settings allow.
pub const SESSIONS: usize = 80;
/// Open descriptors at any time: two a session, and those of the daemon itself, its
/// instances, its peers and its operators.
pub const DESCRIPTORS: usize = 2 * SESSIONS + 160;

/// Daemon process and the addresses on which it listens.
pub struct Daemon {
    child: process::Child,
    folder: path::PathBuf,
    pub listen: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub admin: net::SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(line: &serde_json::Value, field: &str) -> net::SocketAddr {
    let text = line[field].as_str().expect("an address");
    text.parse().expect("an address")
}

impl Daemon {
    /// Starts a daemon with these settings and waits until it listens.
    pub fn start(settings: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("ebonygauge-clients-{}", process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let file = folder.join("vm-1.yaml");
        fs::write(&file, settings).expect("the settings are written");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_ebonygauge"))
            .arg("serve")
            .arg(&file)
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let output = child.stdout.take().expect("standard output is piped");
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            for line in io::BufReader::new(output).lines().map_while(Result::ok) {
                let value: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                if value["message"] == "listening" {
                    let _ = sender.send(value);
                }
            }
        });
        let line = receiver
            .recv_timeout(WAIT_LIMIT)
            .expect("the daemon listens");
        Self {
            child,
            folder,
            listen: address(&line, "listen"),
            peer: address(&line, "peer"),
            admin: address(&line, "admin"),
        }
    }

    fn status_bytes(&self, field: &str) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(file).expect("the process lives");
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let words = line.expect("the process lives").trim_start_matches(':');
        let kib = words.split_whitespace().next().expect("a number");
        kib.parse::<u64>().expect("a number") * 1024
    }

    /// Resident memory now.
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS")
    }

    /// Largest resident memory since the start.
    pub fn peak_bytes(&self) -> u64 {
        self.status_bytes("VmHWM")
    }

    /// Open descriptors now.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(folder).expect("the process lives").count()
    }

    /// Checks that the process lives within its memory and descriptors.
    pub fn check(&mut self, moment: &str) {
        let ended = self.child.try_wait().expect("a child process");
        assert!(ended.is_none(), "{moment}: the daemon has ended: {ended:?}");
        let (resident, peak) = (self.resident_bytes(), self.peak_bytes());
        let descriptors = self.descriptors();
        eprintln!(
            "{moment}: resident {} KiB, peak {} KiB, {descriptors} descriptors",
            resident / 1024,
            peak / 1024
        );
        assert!(peak <= MEMORY_BYTES, "{moment}: {peak} bytes of memory");
        assert!(
            descriptors <= DESCRIPTORS,
            "{moment}: {descriptors} descriptors"
        );
    }
}

/// Waits until `done` returns true, and panics at the time limit.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while !done() {
        assert!(time::Instant::now() < deadline, "{what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}
