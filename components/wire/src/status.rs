//! Terms and positions over SQL, as the platform's groups publish them.

use bytes::Bytes;
use kernel::position;

use crate::{failure, server};

const STATUS_COLUMNS: &str = "term, promised, role, received, replayed, start";
/// Asks an instance for its status.
pub(crate) const STATUS_SQL: &str =
    "SELECT term, promised, role, received, replayed, start FROM platform.status()";

/// Asks for the status of an instance.
pub fn query_status(
    server: &mut server::ServerConnection,
) -> Result<position::Status, failure::Failure> {
    let rows = server.query(STATUS_SQL)?;
    parse(rows.first().map_or(&[], Vec::as_slice))
}

/// Asks an instance to accept a term from the candidate.
pub fn fence(
    server: &mut server::ServerConnection,
    term: position::Term,
    candidate: &str,
) -> Result<(bool, position::Status), failure::Failure> {
    ask(server, "fence", term, candidate)
}

/// Asks an instance to become primary in a term it has accepted.
pub fn promote(
    server: &mut server::ServerConnection,
    term: position::Term,
    candidate: &str,
) -> Result<(bool, position::Status), failure::Failure> {
    ask(server, "promote", term, candidate)
}

fn ask(
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
    let accepted = text(row, 0)? == "t";
    Ok((accepted, parse(&row[1..])?))
}

/// Status in a row of `STATUS_SQL`.
pub(crate) fn parse(row: &[Option<Bytes>]) -> Result<position::Status, failure::Failure> {
    let role = match text(row, 2)? {
        "primary" => position::Role::Primary,
        "replica" => position::Role::Replica,
        _ => return Err(failure::Failure::Malformed),
    };
    Ok(position::Status {
        term: position::Term(number(row, 0)?),
        promised: position::Term(number(row, 1)?),
        role,
        received: position::Lsn(number(row, 3)?),
        replayed: position::Lsn(number(row, 4)?),
        start: position::Lsn(number(row, 5)?),
    })
}

fn text(row: &[Option<Bytes>], index: usize) -> Result<&str, failure::Failure> {
    let value = row.get(index).and_then(Option::as_ref);
    let value = value.ok_or(failure::Failure::Malformed)?;
    std::str::from_utf8(value).map_err(|_| failure::Failure::Malformed)
}

fn number(row: &[Option<Bytes>], index: usize) -> Result<u64, failure::Failure> {
    let value = text(row, index)?;
    value.parse().map_err(|_| failure::Failure::Malformed)
}
