//! SQL functions with which instances report their term and position, and accept
//! fencing and promotion.

use bytes::Bytes;
use kernel::position;

use crate::{failure, server};

const STATUS_COLUMNS: &str = "term, promised, role, received, replayed, start";
/// Query for an instance's status, with the columns of `STATUS_COLUMNS`.
pub(crate) const STATUS_SQL: &str =
    "SELECT term, promised, role, received, replayed, start FROM platform.status()";

/// Queries the status of an instance.
pub fn query_status(
    server: &mut server::ServerConnection,
) -> Result<position::Status, failure::Failure> {
    let rows = server.query(STATUS_SQL)?;
    parse(rows.first().map_or(&[], Vec::as_slice))
}

/// Asks an instance to accept a new term that the VM `candidate` proposes. Returns
/// whether the instance accepted the term, and its status.
pub fn fence(
    server: &mut server::ServerConnection,
    term: position::Term,
    candidate: &str,
) -> Result<(bool, position::Status), failure::Failure> {
    call_function(server, "fence", term, candidate)
}

/// Asks an instance to become primary in a term that the instance has accepted.
/// Returns whether the instance accepted the promotion, and its status.
pub fn promote(
    server: &mut server::ServerConnection,
    term: position::Term,
    candidate: &str,
) -> Result<(bool, position::Status), failure::Failure> {
    call_function(server, "promote", term, candidate)
}

fn call_function(
    server: &mut server::ServerConnection,
    function: &str,
    term: position::Term,
    candidate: &str,
) -> Result<(bool, position::Status), failure::Failure> {
    let sql = format!(
        "SELECT accepted, {STATUS_COLUMNS} FROM platform.{function}({term}, '{candidate}')"
    );
    let rows = server.query(&sql)?;
    let row = rows.first().ok_or(failure::Failure::Malformed)?;
    let accepted = column_text(row, 0)? == "t";
    Ok((accepted, parse(&row[1..])?))
}

/// Parses a row of `STATUS_SQL`.
pub(crate) fn parse(row: &[Option<Bytes>]) -> Result<position::Status, failure::Failure> {
    let role = match column_text(row, 2)? {
        "primary" => position::Role::Primary,
        "replica" => position::Role::Replica,
        _ => return Err(failure::Failure::Malformed),
    };
    Ok(position::Status {
        term: position::Term(column_number(row, 0)?),
        promised: position::Term(column_number(row, 1)?),
        role,
        received: position::Lsn(column_number(row, 3)?),
        replayed: position::Lsn(column_number(row, 4)?),
        start: position::Lsn(column_number(row, 5)?),
    })
}

fn column_text(row: &[Option<Bytes>], index: usize) -> Result<&str, failure::Failure> {
    let value = row.get(index).and_then(Option::as_ref);
    let value = value.ok_or(failure::Failure::Malformed)?;
    std::str::from_utf8(value).map_err(|_| failure::Failure::Malformed)
}

fn column_number(row: &[Option<Bytes>], index: usize) -> Result<u64, failure::Failure> {
    let value = column_text(row, index)?;
    value.parse().map_err(|_| failure::Failure::Malformed)
}
