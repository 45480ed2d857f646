//! A caller that speaks the protocol by its messages.

use std::{
    io::{Read, Write},
    net, time,
};

/// Time for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A session, and the last answers.
pub struct Raw {
    socket: net::TcpStream,
    code: String,
    block: u8,
}

impl Raw {
    /// Logs in as the first customer.
    pub fn connect(cluster: &testbed::Cluster, vm: usize) -> Self {
        let socket =
            net::TcpStream::connect(cluster.daemon(vm).caller_address()).expect("it listens");
        socket
            .set_read_timeout(Some(TIMEOUT))
            .expect("a time limit");
        let mut raw = Self {
            socket,
            code: String::new(),
            block: b'I',
        };
        let customer = &cluster.plan().customers[0];
        let mut startup = vec![0, 3, 0, 0];
        for text in [
            "user",
            &*customer.name,
            "database",
            &*cluster.plan().routes[0].name,
        ] {
            startup.extend_from_slice(text.as_bytes());
            startup.push(0);
        }
        startup.push(0);
        raw.put(&startup);
        assert_eq!(raw.message().0, b'R');
        let key = format!("{}\0", customer.key);
        raw.send(b'p', key.as_bytes());
        assert!(raw.tags().ends_with('Z'));
        raw
    }

    fn put(&mut self, body: &[u8]) {
        let length = u32::try_from(body.len() + 4).expect("a short message");
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes).expect("it is sent");
    }

    /// Sends a message.
    pub fn send(&mut self, tag: u8, body: &[u8]) {
        self.socket.write_all(&[tag]).expect("it is sent");
        self.put(body);
    }

    /// Sends any bytes, and takes in what comes until the end or the limit.
    pub fn any(mut self, bytes: &[u8], limit: time::Duration) {
        self.socket
            .set_read_timeout(Some(limit))
            .expect("a time limit");
        // The daemon may have ended the session before all of it is sent.
        let _ = self.socket.write_all(bytes);
        let _ = self.socket.shutdown(net::Shutdown::Write);
        let _ = self.socket.read_to_end(&mut Vec::new());
    }

    fn message(&mut self) -> (u8, Vec<u8>) {
        let mut header = [0; 5];
        self.socket.read_exact(&mut header).expect("an answer");
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; usize::try_from(length).expect("a length") - 4];
        self.socket.read_exact(&mut body).expect("its body");
        (header[0], body)
    }

    /// Types of the answers, up to ReadyForQuery.
    pub fn tags(&mut self) -> String {
        let mut tags = String::new();
        loop {
            let (tag, body) = self.message();
            tags.push(char::from(tag));
            if tag == b'E' {
                let fields = body.split(|byte| *byte == 0);
                let code = fields.filter_map(|field| field.strip_prefix(b"C")).next();
                self.code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
            }
            if tag == b'Z' {
                self.block = body[0];
                return tags;
            }
        }
    }

    /// SQLSTATE of the last error.
    pub fn code(&self) -> &str {
        &self.code
    }

    /// Transaction status of the last answer.
    pub fn block(&self) -> u8 {
        self.block
    }
}
