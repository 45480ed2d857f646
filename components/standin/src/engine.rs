//! Rows of one instance.
//!
//! Two copies are kept: `committed`, which readers see, and `staging`, on which
//! the one writing transaction runs. A commit ends the transaction on the
//! second and repeats its statements on the first, so readers never see a
//! transaction that is not over.

use std::{collections, sync};

use rusqlite::types;

use crate::{failure, sql, values};

/// A statement with its parameters, as it stands in the log.
pub type Logged = (String, Vec<types::Value>);

/// Rows and their types.
#[derive(Debug, Default)]
pub struct Rows {
    /// Column names and types.
    pub columns: Vec<(String, values::Type)>,
    /// Values.
    pub rows: Vec<Vec<types::Value>>,
    /// Rows changed, or returned.
    pub count: usize,
}

/// Both copies of the rows.
pub struct Engine {
    committed: sync::Mutex<rusqlite::Connection>,
    staging: sync::Mutex<rusqlite::Connection>,
}

impl Engine {
    /// An engine without tables.
    pub fn new() -> Result<Self, failure::Failure> {
        Ok(Self {
            committed: sync::Mutex::new(open()?),
            staging: sync::Mutex::new(open()?),
        })
    }

    fn copy(&self, staged: bool) -> sync::MutexGuard<'_, rusqlite::Connection> {
        let copy = if staged {
            &self.staging
        } else {
            &self.committed
        };
        copy.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Column types of the tables.
    pub fn columns(&self, tables: &[String]) -> Result<sql::Columns, failure::Failure> {
        let mut columns = collections::HashMap::new();
        for staged in [true, false] {
            let copy = self.copy(staged);
            for table in tables {
                let mut statement =
                    copy.prepare_cached("SELECT name, type FROM pragma_table_info(?1)")?;
                let rows = statement.query_map([table], |row| {
                    Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
                })?;
                for row in rows {
                    let (name, kind) = row?;
                    columns.insert(name, values::Type::of_name(&kind));
                }
            }
        }
        Ok(columns)
    }

    /// Result columns of a statement, without running it.
    pub fn describe(
        &self,
        statement: &sql::Statement,
        staged: bool,
    ) -> Result<Vec<(String, values::Type)>, failure::Failure> {
        let copy = self.copy(staged);
        let prepared = copy.prepare_cached(&statement.text)?;
        Ok(output(&prepared, statement))
    }

    /// Runs a statement on one copy.
    pub fn run(
        &self,
        statement: &sql::Statement,
        parameters: &[types::Value],
        staged: bool,
    ) -> Result<Rows, failure::Failure> {
        let copy = self.copy(staged);
        let mut prepared = copy.prepare_cached(&statement.text)?;
        bind(&mut prepared, parameters)?;
        let columns = output(&prepared, statement);
        let mut out = Rows {
            columns,
            ..Rows::default()
        };
        if out.columns.is_empty() {
            out.count = prepared.raw_execute()?;
            return Ok(out);
        }
        let width = out.columns.len();
        let mut rows = prepared.raw_query();
        while let Some(row) = rows.next()? {
            let values: Result<Vec<_>, _> = (0..width).map(|i| row.get(i)).collect();
            out.rows.push(values?);
        }
        out.count = out.rows.len();
        Ok(out)
    }

    /// Starts the writing transaction.
    pub fn begin(&self) -> Result<(), failure::Failure> {
        Ok(self.copy(true).execute_batch("BEGIN")?)
    }

    /// Ends the writing transaction.
    pub fn end(&self, commit: bool) -> Result<(), failure::Failure> {
        let word = if commit { "COMMIT" } else { "ROLLBACK" };
        Ok(self.copy(true).execute_batch(word)?)
    }

    /// Repeats the statements of a committed transaction for readers.
    pub fn apply(&self, statements: &[Logged]) -> Result<(), failure::Failure> {
        let copy = self.copy(false);
        copy.execute_batch("BEGIN")?;
        for (text, parameters) in statements {
            let mut prepared = copy.prepare_cached(text)?;
            bind(&mut prepared, parameters)?;
            let mut rows = prepared.raw_query();
            while rows.next()?.is_some() {}
        }
        Ok(copy.execute_batch("COMMIT")?)
    }

    /// Makes the second copy equal to the first.
    pub fn restage(&self) -> Result<(), failure::Failure> {
        let committed = self.copy(false);
        let mut staging = self.copy(true);
        *staging = open()?;
        let backup = rusqlite::backup::Backup::new(&committed, &mut staging)?;
        backup.run_to_completion(i32::MAX, std::time::Duration::ZERO, None)?;
        Ok(())
    }

    /// Empties the copy that readers see.
    pub fn clear(&self) -> Result<(), failure::Failure> {
        *self.copy(false) = open()?;
        Ok(())
    }
}

fn open() -> Result<rusqlite::Connection, failure::Failure> {
    use rusqlite::functions;
    let connection = rusqlite::Connection::open_in_memory()?;
    connection.set_prepared_statement_cache_capacity(128);
    connection.execute_batch(
        "ATTACH ':memory:' AS pg_catalog;
         CREATE TABLE pg_catalog.pg_namespace (oid INT, nspname TEXT);
         CREATE TABLE pg_catalog.pg_type (oid INT, typname TEXT, typnamespace INT,
             typtype TEXT, typelem INT, typrelid INT, typbasetype INT);
         INSERT INTO pg_catalog.pg_namespace VALUES (11, 'pg_catalog');
         INSERT INTO pg_catalog.pg_type VALUES (16, 'bool', 11, 'b', 0, 0, 0),
             (20, 'int8', 11, 'b', 0, 0, 0), (23, 'int4', 11, 'b', 0, 0, 0),
             (25, 'text', 11, 'b', 0, 0, 0), (701, 'float8', 11, 'b', 0, 0, 0);",
    )?;
    let flags = functions::FunctionFlags::SQLITE_UTF8;
    for (name, text) in [
        ("version", "PostgreSQL 15.0 (stand-in)"),
        ("current_schema", "public"),
        ("current_database", "orders"),
    ] {
        connection.create_scalar_function(name, 0, flags, move |_| Ok(text))?;
    }
    Ok(connection)
}

fn bind(
    prepared: &mut rusqlite::Statement<'_>,
    parameters: &[types::Value],
) -> Result<(), failure::Failure> {
    for (number, value) in (1..).zip(parameters) {
        let name = format!("${number}");
        if let Some(index) = prepared.parameter_index(&name)? {
            prepared.raw_bind_parameter(index, value)?;
        }
    }
    Ok(())
}

fn output(
    prepared: &rusqlite::Statement<'_>,
    statement: &sql::Statement,
) -> Vec<(String, values::Type)> {
    let columns = prepared.columns();
    let name = |column: &rusqlite::Column<'_>| {
        let name = column.name();
        name.split('(').next().unwrap_or(name).to_ascii_lowercase()
    };
    columns
        .iter()
        .enumerate()
        .map(|(i, column)| {
            let declared = column.decl_type().map(values::Type::of_name);
            let inferred = statement.outputs.get(i).copied().flatten();
            let kind = declared.or(inferred).unwrap_or(values::Type::Text);
            (name(column), kind)
        })
        .collect()
}
