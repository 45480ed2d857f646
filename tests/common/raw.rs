//! A caller that sends and receives single messages of the PostgreSQL protocol.

use std::{
    io::{Read, Write},
    net, time,
};

/// Limit for the daemon's answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A logged-in session, with the SQLSTATE and transaction status received last.
pub struct Session {
    socket: net::TcpStream,
    sqlstate: String,
    transaction_status: u8,
    row: Vec<u8>,
}

impl Session {
    /// Logs in as the first customer.
    pub fn connect(cluster: &testbed::Cluster, vm: usize) -> Self {
        let socket = net::TcpStream::connect(cluster.daemon(vm).caller_address())
            .expect("the daemon listens");
        socket
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is set");
        let mut raw = Self {
            socket,
            sqlstate: String::new(),
            transaction_status: b'I',
            row: Vec::new(),
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
        raw.write_body(&startup);
        assert_eq!(raw.read_message().0, b'R');
        let key = format!("{}\0", customer.key);
        raw.send(b'p', key.as_bytes());
        assert!(raw.read_tags().ends_with('Z'));
        raw
    }

    fn write_body(&mut self, body: &[u8]) {
        let length = u32::try_from(body.len() + 4).expect("a short message");
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes).expect("the message is sent");
    }

    /// Sends one message.
    pub fn send(&mut self, tag: u8, body: &[u8]) {
        self.socket.write_all(&[tag]).expect("the message is sent");
        self.write_body(body);
    }

    /// Sends arbitrary bytes, then reads until the daemon closes the session or
    /// the time limit passes.
    pub fn send_bytes(mut self, bytes: &[u8], limit: time::Duration) {
        self.socket
            .set_read_timeout(Some(limit))
            .expect("the read timeout is set");
        // The daemon may close the session before all bytes are sent.
        let _ = self.socket.write_all(bytes);
        let _ = self.socket.shutdown(net::Shutdown::Write);
        let _ = self.socket.read_to_end(&mut Vec::new());
    }

    fn read_message(&mut self) -> (u8, Vec<u8>) {
        let mut header = [0; 5];
        self.socket
            .read_exact(&mut header)
            .expect("the daemon answers");
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; usize::try_from(length).expect("a length") - 4];
        self.socket
            .read_exact(&mut body)
            .expect("the message has its whole body");
        (header[0], body)
    }

    /// Reads messages up to ReadyForQuery and returns their type bytes.
    pub fn read_tags(&mut self) -> String {
        let mut tags = String::new();
        loop {
            let (tag, body) = self.read_message();
            tags.push(char::from(tag));
            if tag == b'E' {
                let fields = body.split(|byte| *byte == 0);
                let code = fields.filter_map(|field| field.strip_prefix(b"C")).next();
                self.sqlstate = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
            }
            if tag == b'D' {
                // After the number of columns and the length of the first one.
                self.row = body[6..].to_vec();
            }
            if tag == b'Z' {
                self.transaction_status = body[0];
                return tags;
            }
        }
    }

    /// Value of the last row, which has one column.
    pub fn last_row(&self) -> &[u8] {
        &self.row
    }

    /// SQLSTATE of the last error.
    pub fn sqlstate(&self) -> &str {
        &self.sqlstate
    }

    /// Transaction status of the last ReadyForQuery message.
    pub fn transaction_status(&self) -> u8 {
        self.transaction_status
    }
}
