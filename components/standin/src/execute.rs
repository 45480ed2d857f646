//! Running statements: transactions, the writer, reads and platform calls.

use std::{sync, sync::atomic, thread, time};

use bytes::BytesMut;
use pgwire::messages;
use rusqlite::types;

use crate::{failure, instance, session, sql, values};

/// Time that a writer waits for the one before it.
const WRITER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

impl session::Session<'_> {
    pub(crate) fn complete(&mut self, tag: &str) {
        self.put(&messages::response::CommandComplete::new(tag.into()));
    }

    pub(crate) fn run(&mut self, portal: &session::Portal) -> Result<(), failure::Failure> {
        let Some(statement) = &portal.prepared.statement else {
            self.put(&messages::response::EmptyQueryResponse::new());
            return Ok(());
        };
        let ends = matches!(statement.kind, sql::Kind::Commit | sql::Kind::Rollback);
        let failed = self.transaction.as_ref().is_some_and(|open| open.failed);
        if failed && !ends {
            let text = "current transaction is aborted";
            return Err(failure::Failure::sql("25P02", text));
        }
        match &statement.kind {
            sql::Kind::Begin(read_only) => self.begin(*read_only),
            sql::Kind::Commit => self.commit(),
            sql::Kind::Rollback => {
                self.abort();
                self.complete("ROLLBACK");
                Ok(())
            }
            sql::Kind::Set(name, value) => {
                self.parameters.insert(name.clone(), value.clone());
                self.complete("SET");
                Ok(())
            }
            sql::Kind::Reset => {
                self.parameters.clear();
                self.complete("RESET");
                Ok(())
            }
            sql::Kind::Show(name) => self.show(name, portal),
            sql::Kind::Platform(name, arguments) => self.platform(name, arguments, portal),
            sql::Kind::Sleep(ms) => self.sleep(*ms, portal),
            sql::Kind::Read => self.read(statement, portal),
            sql::Kind::Write(tag) | sql::Kind::Define(tag) => self.write(statement, tag, portal),
        }
    }

    pub(crate) fn begin(&mut self, read_only: bool) -> Result<(), failure::Failure> {
        let open = self.transaction.get_or_insert(session::Transaction {
            implicit: false,
            failed: false,
            read_only,
            term: None,
            statements: Vec::new(),
        });
        open.implicit = false;
        self.complete("BEGIN");
        Ok(())
    }

    pub(crate) fn commit(&mut self) -> Result<(), failure::Failure> {
        let failed = self.transaction.as_ref().is_some_and(|open| open.failed);
        if failed {
            self.abort();
            self.complete("ROLLBACK");
            return Ok(());
        }
        self.finish()?;
        self.complete("COMMIT");
        Ok(())
    }

    /// Commits what the open transaction wrote, if anything.
    pub(crate) fn finish(&mut self) -> Result<(), failure::Failure> {
        let Some(open) = self.transaction.take() else {
            return Ok(());
        };
        let Some(term) = open.term else {
            return Ok(());
        };
        let result = self.instance.commit(term, open.statements);
        let ended = self.instance.engine.end(result.is_ok());
        self.release_writer();
        result.and(ended)
    }

    pub(crate) fn end_implicit(&mut self) -> Result<(), failure::Failure> {
        match &self.transaction {
            Some(open) if open.implicit && open.failed => {
                self.abort();
                Ok(())
            }
            Some(open) if open.implicit => self.finish(),
            _ => Ok(()),
        }
    }

    pub(crate) fn abort(&mut self) {
        let Some(open) = self.transaction.take() else {
            return;
        };
        if open.term.is_some() {
            let _ = self.instance.engine.end(false);
            self.release_writer();
        }
    }

    pub(crate) fn release_writer(&self) {
        *instance::lock(&self.instance.writer) = None;
        self.instance.writer_freed.notify_one();
    }

    /// Makes this session the one that writes.
    pub(crate) fn become_writer(&mut self) -> Result<(), failure::Failure> {
        if self.is_writer() {
            return Ok(());
        }
        if !self.instance.is_primary() {
            return Err(instance::read_only());
        }
        let writer = instance::lock(&self.instance.writer);
        let waited =
            self.instance
                .writer_freed
                .wait_timeout_while(writer, WRITER_TIMEOUT, |writer| writer.is_some());
        let (mut writer, timeout) = waited.unwrap_or_else(sync::PoisonError::into_inner);
        if timeout.timed_out() {
            return Err(failure::Failure::sql("55P03", "another transaction writes"));
        }
        *writer = Some(self.id);
        drop(writer);
        let term = self.instance.term();
        if !self.instance.is_primary() || self.instance.engine.begin().is_err() {
            self.release_writer();
            return Err(instance::read_only());
        }
        let open = self.transaction.get_or_insert(session::Transaction {
            implicit: true,
            failed: false,
            read_only: false,
            term: None,
            statements: Vec::new(),
        });
        open.term = Some(term);
        Ok(())
    }

    /// Runs in a slot for as long as a statement of this instance takes.
    pub(crate) fn in_slot<T>(&mut self, work: impl FnOnce(&mut Self) -> T) -> T {
        let instance = self.instance;
        self.cancel.store(false, atomic::Ordering::SeqCst);
        instance.slots.hold(|| {
            if !instance.setup.work.is_zero() {
                thread::sleep(instance.setup.work);
            }
            work(self)
        })
    }

    pub(crate) fn read(
        &mut self,
        statement: &sql::Statement,
        portal: &session::Portal,
    ) -> Result<(), failure::Failure> {
        let staged = self.is_writer();
        self.instance.note_read();
        let rows = self.in_slot(|session| {
            let engine = &session.instance.engine;
            engine.run(statement, &portal.parameters, staged)
        })?;
        let count = rows.count;
        self.rows(&rows.rows, portal);
        self.complete(&format!("SELECT {count}"));
        Ok(())
    }

    pub(crate) fn write(
        &mut self,
        statement: &sql::Statement,
        tag: &str,
        portal: &session::Portal,
    ) -> Result<(), failure::Failure> {
        if self.transaction.as_ref().is_some_and(|open| open.read_only) {
            return Err(instance::read_only());
        }
        self.become_writer()?;
        let rows = self.in_slot(|session| {
            let engine = &session.instance.engine;
            engine.run(statement, &portal.parameters, true)
        })?;
        if let Some(open) = &mut self.transaction {
            let logged = (statement.text.clone(), portal.parameters.clone());
            open.statements.push(logged);
        }
        self.rows(&rows.rows, portal);
        let count = rows.count;
        let tag = match (&statement.kind, tag) {
            (sql::Kind::Define(_), _) => tag.to_string(),
            (_, "INSERT") => format!("INSERT 0 {count}"),
            _ => format!("{tag} {count}"),
        };
        self.complete(&tag);
        Ok(())
    }

    pub(crate) fn show(
        &mut self,
        name: &str,
        portal: &session::Portal,
    ) -> Result<(), failure::Failure> {
        let value = match name {
            "server_version" => "15.0".to_string(),
            "transaction_read_only" | "default_transaction_read_only" => {
                if self.instance.is_primary() {
                    "off"
                } else {
                    "on"
                }
                .to_string()
            }
            _ => self.parameters.get(name).cloned().unwrap_or_default(),
        };
        self.rows(&[vec![types::Value::Text(value)]], portal);
        self.complete("SHOW");
        Ok(())
    }

    pub(crate) fn sleep(
        &mut self,
        ms: u64,
        portal: &session::Portal,
    ) -> Result<(), failure::Failure> {
        self.cancel.store(false, atomic::Ordering::SeqCst);
        let until = time::Instant::now() + time::Duration::from_millis(ms);
        while time::Instant::now() < until {
            if self.cancel.swap(false, atomic::Ordering::SeqCst) {
                let text = "canceling statement due to user request";
                return Err(failure::Failure::sql("57014", text));
            }
            if !self.instance.is_alive() {
                return Err(failure::Failure::Gone);
            }
            thread::sleep(time::Duration::from_millis(1));
        }
        self.rows(&[vec![types::Value::Text(String::new())]], portal);
        self.complete("SELECT 1");
        Ok(())
    }

    pub(crate) fn platform(
        &mut self,
        name: &str,
        arguments: &[String],
        portal: &session::Portal,
    ) -> Result<(), failure::Failure> {
        let term = arguments.first().and_then(|term| term.parse().ok());
        let candidate = arguments.get(1).map_or("", String::as_str);
        let accepted = match (name, term) {
            ("status", _) => None,
            ("fence", Some(term)) => Some(self.instance.fence(term, candidate)),
            ("promote", Some(term)) => Some(self.instance.promote(term, candidate)?),
            _ => return Err(failure::Failure::sql("42883", "no such function")),
        };
        let state = instance::lock(&self.instance.state);
        let number = |n: u64| types::Value::Integer(i64::try_from(n).unwrap_or(i64::MAX));
        let length = |n: usize| types::Value::Integer(i64::try_from(n).unwrap_or(i64::MAX));
        let role = if state.primary { "primary" } else { "replica" };
        let mut row = vec![
            number(state.term),
            number(state.promised),
            types::Value::Text(role.into()),
            length(state.log.len()),
            length(state.replayed),
            length(state.start),
        ];
        drop(state);
        if let Some(accepted) = accepted {
            row.insert(0, types::Value::Integer(i64::from(accepted)));
        }
        self.rows(&[row], portal);
        self.complete("SELECT 1");
        Ok(())
    }

    pub(crate) fn rows(&mut self, rows: &[Vec<types::Value>], portal: &session::Portal) {
        let columns = &portal.prepared.columns;
        for row in rows {
            let mut data = BytesMut::new();
            for (i, (value, (_, kind))) in row.iter().zip(columns).enumerate() {
                let binary = session::format_at(&portal.formats, i) == 1;
                values::put_column(&mut data, value, *kind, binary);
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            self.put(&messages::data::DataRow::new(data, count));
        }
    }
}
