//! One connection to an instance.

use std::{collections, io, io::Write, net, sync, sync::atomic, thread};

use bytes::{Buf, BufMut, BytesMut};
use pgwire::messages::{self, Message};
use rusqlite::types;
use sqlparser::ast;

use crate::{engine, failure, instance, sql, values};

/// Longest message, in bytes.
const MESSAGE_LIMIT: usize = 1 << 24;
/// Code of an SSLRequest.
const SSL_REQUEST: u32 = 80_877_103;
/// Code of a CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;

/// Set by a cancel request: the secret and the flag.
pub type CancelFlag = (i32, sync::Arc<atomic::AtomicBool>);

/// A transaction that is open.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) implicit: bool,
    pub(crate) failed: bool,
    pub(crate) read_only: bool,
    pub(crate) term: Option<u64>,
    pub(crate) statements: Vec<engine::Logged>,
}

/// A prepared statement.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    pub(crate) statement: Option<sql::Statement>,
    pub(crate) columns: Vec<(String, values::Type)>,
}

/// A bound statement.
#[derive(Clone, Debug)]
pub(crate) struct Portal {
    pub(crate) prepared: Prepared,
    pub(crate) parameters: Vec<types::Value>,
    pub(crate) formats: Vec<i16>,
}

/// A connection with its state.
pub(crate) struct Session<'a> {
    pub(crate) instance: &'a instance::Instance,
    pub(crate) id: u64,
    pub(crate) socket: net::TcpStream,
    pub(crate) input: BytesMut,
    pub(crate) out: BytesMut,
    pub(crate) prepared: collections::HashMap<String, Prepared>,
    pub(crate) portals: collections::HashMap<String, Portal>,
    pub(crate) parameters: collections::HashMap<String, String>,
    pub(crate) transaction: Option<Transaction>,
    pub(crate) skipping: bool,
    pub(crate) cancel: sync::Arc<atomic::AtomicBool>,
}

/// Serves a connection until it ends.
pub fn serve(instance: &instance::Instance, socket: net::TcpStream, id: u64) {
    let _ = socket.set_nodelay(true);
    let mut session = Session {
        instance,
        id,
        socket,
        input: BytesMut::new(),
        out: BytesMut::new(),
        prepared: collections::HashMap::new(),
        portals: collections::HashMap::new(),
        parameters: collections::HashMap::new(),
        transaction: None,
        skipping: false,
        cancel: sync::Arc::default(),
    };
    let process = i32::try_from(id & 0x7fff_ffff).unwrap_or(0);
    if session.start(process).is_ok() {
        while session.next().is_ok() {}
    }
    instance::lock(&instance.cancels).remove(&process);
    session.abort();
    let _ = session.socket.shutdown(net::Shutdown::Both);
}

impl Session<'_> {
    pub(crate) fn fill(&mut self, wanted: usize) -> Result<(), failure::Failure> {
        while self.input.len() < wanted {
            let mut chunk = [0; 8192];
            let count = io::Read::read(&mut self.socket, &mut chunk)?;
            self.instance.thaw();
            if count == 0 || !self.instance.is_alive() {
                return Err(failure::Failure::Gone);
            }
            self.input.put_slice(&chunk[..count]);
        }
        Ok(())
    }

    pub(crate) fn frame(&mut self, tagged: bool) -> Result<(u8, BytesMut), failure::Failure> {
        let prefix = usize::from(tagged);
        self.fill(prefix + 4)?;
        let tag = if tagged { self.input[0] } else { 0 };
        let length = (&self.input[prefix..prefix + 4]).get_u32();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if !(4..MESSAGE_LIMIT).contains(&length) {
            return Err(failure::Failure::Malformed);
        }
        self.fill(prefix + length)?;
        self.input.advance(prefix + 4);
        let body = self.input.split_to(length - 4);
        self.instance.note_bytes(tag, &body);
        Ok((tag, body))
    }

    pub(crate) fn send(&mut self) -> Result<(), failure::Failure> {
        self.instance.thaw();
        if !self.instance.is_alive() {
            return Err(failure::Failure::Gone);
        }
        self.socket.write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    pub(crate) fn put(&mut self, message: &impl Message) {
        let _ = message.encode(&mut self.out);
    }

    pub(crate) fn start(&mut self, process: i32) -> Result<(), failure::Failure> {
        let (_, mut body) = self.frame(false)?;
        if body.len() < 4 {
            return Err(failure::Failure::Malformed);
        }
        match body.get_u32() {
            CANCEL_REQUEST => {
                self.cancel_other(&mut body);
                Err(failure::Failure::Gone)
            }
            SSL_REQUEST => {
                self.socket.write_all(b"N")?;
                self.start(process)
            }
            _ => self.log_in(process),
        }
    }

    pub(crate) fn cancel_other(&self, body: &mut BytesMut) {
        if body.len() < 8 {
            return;
        }
        let (process, secret) = (body.get_i32(), body.get_i32());
        if let Some((expected, flag)) = instance::lock(&self.instance.cancels).get(&process)
            && *expected == secret
        {
            flag.store(true, atomic::Ordering::SeqCst);
        }
    }

    pub(crate) fn log_in(&mut self, process: i32) -> Result<(), failure::Failure> {
        self.put(&messages::startup::Authentication::CleartextPassword);
        self.send()?;
        let (tag, body) = self.frame(true)?;
        let shown = body.split_last().map_or(&[][..], |(_, password)| password);
        if tag != b'p' || shown != self.instance.setup.password.as_bytes() {
            self.error("FATAL", "28P01", "password authentication failed");
            return self.send().and(Err(failure::Failure::Gone));
        }
        thread::sleep(self.instance.setup.connect);
        if self.instance.count_connections() > self.instance.setup.connections {
            self.error("FATAL", "53300", "too many connections");
            return self.send().and(Err(failure::Failure::Gone));
        }
        let secret = process ^ 0x5a5a_5a5a;
        let flag = (secret, self.cancel.clone());
        instance::lock(&self.instance.cancels).insert(process, flag);
        self.put(&messages::startup::Authentication::Ok);
        let version =
            messages::startup::ParameterStatus::new("server_version".into(), "15.0".into());
        self.put(&version);
        let key = messages::startup::SecretKey::I32(secret);
        self.put(&messages::startup::BackendKeyData::new(process, key));
        self.ready();
        self.send()
    }

    pub(crate) fn error(&mut self, severity: &str, state: &str, text: &str) {
        let fields = vec![
            (b'S', severity.to_string()),
            (b'V', severity.to_string()),
            (b'C', state.to_string()),
            (b'M', text.to_string()),
        ];
        self.put(&messages::response::ErrorResponse::new(fields));
    }

    pub(crate) fn ready(&mut self) {
        let status = match &self.transaction {
            Some(open) if open.implicit => messages::response::TransactionStatus::Idle,
            Some(open) if open.failed => messages::response::TransactionStatus::Error,
            Some(_) => messages::response::TransactionStatus::Transaction,
            None => messages::response::TransactionStatus::Idle,
        };
        self.put(&messages::response::ReadyForQuery::new(status));
    }

    pub(crate) fn next(&mut self) -> Result<(), failure::Failure> {
        if !self.out.is_empty() && self.input.is_empty() {
            self.send()?;
        }
        let (tag, body) = self.frame(true)?;
        if self.skipping && !matches!(tag, b'S' | b'X') {
            return Ok(());
        }
        let result = match tag {
            b'Q' => {
                self.simple(&body)?;
                Ok(())
            }
            b'P' => self.parse(&body),
            b'B' => self.bind(&body),
            b'D' => self.describe(&body),
            b'E' => self.execute(&body),
            b'C' => self.close(&body),
            b'S' => {
                self.sync()?;
                Ok(())
            }
            b'H' => self.send(),
            b'X' => Err(failure::Failure::Gone),
            b'd' | b'c' | b'f' => Ok(()),
            _ => Err(failure::Failure::Malformed),
        };
        match result {
            Err(failure::Failure::Sql { state, message }) => {
                self.fail(state, &message);
                self.skipping = true;
                Ok(())
            }
            other => other,
        }
    }

    pub(crate) fn fail(&mut self, state: &'static str, message: &str) {
        self.error("ERROR", state, message);
        if let Some(open) = &mut self.transaction {
            open.failed = true;
        }
    }

    pub(crate) fn sync(&mut self) -> Result<(), failure::Failure> {
        self.skipping = false;
        if let Err(failure::Failure::Sql { state, message }) = self.end_implicit() {
            self.fail(state, &message);
            self.abort();
        }
        self.portals.clear();
        self.ready();
        self.send()
    }

    pub(crate) fn simple(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let text = text(&body[..body.len().saturating_sub(1)])?.to_string();
        let result = self.run_all(&text);
        let ended = result.and_then(|()| self.end_implicit());
        if let Err(failure::Failure::Sql { state, message }) = ended {
            self.fail(state, &message);
            if self.transaction.as_ref().is_some_and(|open| open.implicit) {
                self.abort();
            }
        }
        self.ready();
        self.send()
    }

    pub(crate) fn run_all(&mut self, text: &str) -> Result<(), failure::Failure> {
        let statements = sql::parse(text)?;
        if statements.is_empty() {
            self.put(&messages::response::EmptyQueryResponse::new());
        }
        for statement in statements {
            let prepared = self.prepare(statement, &[])?;
            if !prepared.columns.is_empty() {
                self.describe_rows(&prepared.columns, &[]);
            }
            let portal = Portal {
                prepared,
                parameters: Vec::new(),
                formats: Vec::new(),
            };
            self.run(&portal)?;
        }
        Ok(())
    }

    pub(crate) fn prepare(
        &mut self,
        statement: ast::Statement,
        given: &[u32],
    ) -> Result<Prepared, failure::Failure> {
        let tables = sql::tables(&statement);
        let columns = self.instance.engine.columns(&tables)?;
        let statement = sql::prepare(statement, &columns, given);
        let columns = match &statement.kind {
            sql::Kind::Read | sql::Kind::Write(_) => self
                .instance
                .engine
                .describe(&statement, self.is_staged(&statement))?,
            sql::Kind::Show(name) => vec![(name.clone(), values::Type::Text)],
            sql::Kind::Sleep(_) => vec![("pg_sleep".into(), values::Type::Text)],
            sql::Kind::Platform(name, _) => platform_columns(name),
            _ => Vec::new(),
        };
        Ok(Prepared {
            statement: Some(statement),
            columns,
        })
    }

    /// Whether the statement runs on the copy of the writing transaction.
    pub(crate) fn is_staged(&self, statement: &sql::Statement) -> bool {
        let writes = matches!(statement.kind, sql::Kind::Write(_)) && self.instance.is_primary();
        writes || self.is_writer()
    }

    pub(crate) fn is_writer(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|open| open.term.is_some())
    }

    pub(crate) fn describe_rows(&mut self, columns: &[(String, values::Type)], formats: &[i16]) {
        let fields = columns
            .iter()
            .enumerate()
            .map(|(i, (name, kind))| {
                let format = format_at(formats, i);
                let (oid, size) = (kind.oid(), kind.size());
                messages::data::FieldDescription::new(name.clone(), 0, 0, oid, size, -1, format)
            })
            .collect();
        self.put(&messages::data::RowDescription::new(fields));
    }

    pub(crate) fn parse(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let (name, rest) = string(body)?;
        let (query, mut rest) = string(rest)?;
        let mut given = Vec::new();
        if rest.len() >= 2 {
            let count = rest.get_u16();
            for _ in 0..count {
                if rest.len() < 4 {
                    return Err(failure::Failure::Malformed);
                }
                given.push(rest.get_u32());
            }
        }
        let mut statements = sql::parse(query)?;
        if statements.len() > 1 {
            return Err(failure::Failure::sql(
                "42601",
                "several commands in one statement",
            ));
        }
        let prepared = match statements.pop() {
            Some(statement) => self.prepare(statement, &given)?,
            None => Prepared {
                statement: None,
                columns: Vec::new(),
            },
        };
        self.prepared.insert(name.into(), prepared);
        self.put(&messages::extendedquery::ParseComplete::new());
        Ok(())
    }

    pub(crate) fn find(&self, name: &str) -> Result<&Prepared, failure::Failure> {
        let missing = || failure::Failure::sql("26000", format!("no prepared statement {name}"));
        self.prepared.get(name).ok_or_else(missing)
    }

    pub(crate) fn bind(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let (portal, rest) = string(body)?;
        let (name, mut rest) = string(rest)?;
        let prepared = self.find(name)?.clone();
        let formats = shorts(&mut rest)?;
        if rest.len() < 2 {
            return Err(failure::Failure::Malformed);
        }
        let count = usize::from(rest.get_u16());
        let mut parameters = Vec::with_capacity(count);
        for i in 0..count {
            let value = field(&mut rest)?;
            let kinds = prepared.statement.as_ref().map(|s| s.parameters.as_slice());
            let kind = kinds.and_then(|kinds| kinds.get(i)).copied();
            let kind = kind.unwrap_or(values::Type::Text);
            let binary = format_at(&formats, i) == 1;
            parameters.push(values::read(value, kind, binary)?);
        }
        let portal_value = Portal {
            prepared,
            parameters,
            formats: shorts(&mut rest)?,
        };
        self.portals.insert(portal.into(), portal_value);
        self.put(&messages::extendedquery::BindComplete::new());
        Ok(())
    }

    pub(crate) fn describe(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let (kind, rest) = body.split_first().ok_or(failure::Failure::Malformed)?;
        let (name, _) = string(rest)?;
        let (prepared, formats) = if *kind == b'S' {
            let prepared = self.find(name)?.clone();
            let statement = prepared.statement.as_ref();
            let types = statement.map_or(Vec::new(), |s| {
                s.parameters.iter().map(|kind| kind.oid()).collect()
            });
            self.put(&messages::data::ParameterDescription::new(types));
            (prepared, Vec::new())
        } else {
            let portal = self.portal(name)?.clone();
            (portal.prepared, portal.formats)
        };
        if prepared.columns.is_empty() {
            self.put(&messages::data::NoData::new());
        } else {
            self.describe_rows(&prepared.columns, &formats);
        }
        Ok(())
    }

    pub(crate) fn portal(&self, name: &str) -> Result<&Portal, failure::Failure> {
        let missing = || failure::Failure::sql("34000", format!("no portal {name}"));
        self.portals.get(name).ok_or_else(missing)
    }

    pub(crate) fn execute(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let (name, _) = string(body)?;
        let portal = self.portal(name)?.clone();
        self.run(&portal)
    }

    pub(crate) fn close(&mut self, body: &[u8]) -> Result<(), failure::Failure> {
        let (kind, rest) = body.split_first().ok_or(failure::Failure::Malformed)?;
        let (name, _) = string(rest)?;
        if *kind == b'S' {
            self.prepared.remove(name);
        } else {
            self.portals.remove(name);
        }
        self.put(&messages::extendedquery::CloseComplete::new());
        Ok(())
    }
}

fn platform_columns(name: &str) -> Vec<(String, values::Type)> {
    let mut columns = Vec::new();
    if name != "status" {
        columns.push(("accepted".to_string(), values::Type::Bool));
    }
    for name in ["term", "promised", "role", "received", "replayed", "start"] {
        let kind = if name == "role" {
            values::Type::Text
        } else {
            values::Type::Int8
        };
        columns.push((name.to_string(), kind));
    }
    columns
}

/// Format of a column: one for all, or one for each.
pub(crate) fn format_at(formats: &[i16], index: usize) -> i16 {
    let format = if formats.len() == 1 {
        formats.first()
    } else {
        formats.get(index)
    };
    format.copied().unwrap_or(0)
}

fn text(bytes: &[u8]) -> Result<&str, failure::Failure> {
    std::str::from_utf8(bytes).map_err(|_| failure::Failure::Malformed)
}

fn string(body: &[u8]) -> Result<(&str, &[u8]), failure::Failure> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(failure::Failure::Malformed)?;
    Ok((text(&body[..end])?, &body[end + 1..]))
}

fn shorts(rest: &mut &[u8]) -> Result<Vec<i16>, failure::Failure> {
    if rest.len() < 2 {
        return Err(failure::Failure::Malformed);
    }
    let count = usize::from(rest.get_u16());
    if rest.len() < count * 2 {
        return Err(failure::Failure::Malformed);
    }
    Ok((0..count).map(|_| rest.get_i16()).collect())
}

fn field<'a>(rest: &mut &'a [u8]) -> Result<Option<&'a [u8]>, failure::Failure> {
    if rest.len() < 4 {
        return Err(failure::Failure::Malformed);
    }
    let Ok(length) = usize::try_from(rest.get_i32()) else {
        return Ok(None);
    };
    if rest.len() < length {
        return Err(failure::Failure::Malformed);
    }
    let (value, tail) = rest.split_at(length);
    *rest = tail;
    Ok(Some(value))
}
