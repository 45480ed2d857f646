//! Classification of SQL statements by their text.
//!
//! A statement is a read only if none of its words stands for a write or a lock.
//! A function that the statement calls may write all the same. A replica refuses
//! such a statement with SQLSTATE 25006 and changes nothing, and the proxy then
//! sends the statement to the primary.

use crate::deallocate;

/// What a statement needs from the proxy and the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// A replica may run the statement.
    Read,
    /// Only the primary may run the statement.
    Write,
    /// Changes or resets parameters of the session.
    Set,
    /// Drops prepared statements of the session; no database is involved.
    Deallocate,
    /// The proxy does not support the statement.
    Unsupported,
}

/// Effect of a statement on the transaction block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Boundary {
    /// Starts the block.
    Begin,
    /// Commits the block.
    Commit,
    /// Neither starts nor commits the block.
    Inside,
}

/// Returns whether a statement starts or commits a transaction block.
pub fn find_boundary(sql: &str) -> Boundary {
    let word = sql
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next();
    match word.unwrap_or_default().to_ascii_uppercase().as_str() {
        "BEGIN" | "START" => Boundary::Begin,
        "COMMIT" | "END" => Boundary::Commit,
        _ => Boundary::Inside,
    }
}

/// Words that mark a query as one that writes or locks.
const WRITE_WORDS: [&str; 12] = [
    "INSERT",
    "UPDATE",
    "DELETE",
    "MERGE",
    "INTO",
    "SHARE",
    "NEXTVAL",
    "SETVAL",
    "SET_CONFIG",
    "PG_NOTIFY",
    "CALL",
    "LO_CREATE",
];

/// Classifies one statement, or several statements separated by semicolons.
pub fn classify(sql: &str) -> StatementClass {
    let words = Words::parse(sql);
    let Some(first) = words.list.first() else {
        return StatementClass::Read;
    };
    let has = |word: &str| words.list.iter().any(|w| w == word);
    match first.as_str() {
        "COPY" if has("STDIN") => StatementClass::Unsupported,
        "DEALLOCATE" if deallocate::Target::parse(sql).is_some() => StatementClass::Deallocate,
        "LISTEN" | "PREPARE" | "EXECUTE" | "DEALLOCATE" | "LOAD" => StatementClass::Unsupported,
        "CREATE" if has("TEMP") || has("TEMPORARY") => StatementClass::Unsupported,
        _ if words.has_several => StatementClass::Write,
        "SELECT" | "VALUES" | "TABLE" | "SHOW" | "WITH" | "EXPLAIN" => {
            let locks = words.list.iter().any(|w| w.starts_with("PG_ADVISORY"));
            let writes = WRITE_WORDS.iter().any(|word| has(word));
            if writes || locks {
                StatementClass::Write
            } else {
                StatementClass::Read
            }
        }
        "SET" if !is_session_wide(&words.list) => StatementClass::Write,
        "SET" | "RESET" => StatementClass::Set,
        "DISCARD" => StatementClass::Set,
        "BEGIN" | "START" if has("ONLY") => StatementClass::Read,
        _ => StatementClass::Write,
    }
}

/// Whether a `SET` with these words holds beyond its transaction.
pub(crate) fn is_session_wide(words: &[String]) -> bool {
    let has = |word: &str| words.iter().any(|w| w == word);
    has("CHARACTERISTICS") || !(has("LOCAL") || has("TRANSACTION"))
}

/// Words of a statement outside of literals, quoted names and comments, in upper case.
pub(crate) fn words(sql: &str) -> Vec<String> {
    Words::parse(sql).list
}

/// Splits a query at the semicolons outside of literals, quoted names and comments.
pub(crate) fn split(sql: &str) -> Vec<&str> {
    let bytes = sql.as_bytes();
    let mut statements = Vec::new();
    let (mut start, mut i) = (0, 0);
    while i < bytes.len() {
        let end = token_end(bytes, i);
        if bytes[i] == b';' {
            statements.push(&sql[start..i]);
            start = end;
        }
        i = end;
    }
    statements.push(&sql[start..]);
    statements.retain(|statement| !statement.trim().is_empty());
    statements
}

/// Words outside of literals, quoted names and comments, in upper case.
struct Words {
    list: Vec<String>,
    has_several: bool,
}

impl Words {
    fn parse(sql: &str) -> Self {
        let bytes = sql.as_bytes();
        let mut words = Words {
            list: Vec::new(),
            has_several: false,
        };
        let mut after_semicolon = false;
        let mut i = 0;
        while i < bytes.len() {
            let c = bytes[i];
            if c.is_ascii_alphabetic() || c == b'_' {
                let end = word_end(bytes, i);
                words.list.push(sql[i..end].to_ascii_uppercase());
                words.has_several |= after_semicolon;
                i = end;
                continue;
            }
            after_semicolon |= c == b';';
            words.has_several |= after_semicolon
                && !(c == b';' || c.is_ascii_whitespace() || c == b'-' || c == b'/');
            i = token_end(bytes, i);
        }
        words
    }
}

fn word_end(bytes: &[u8], start: usize) -> usize {
    let is_word = |c: &u8| c.is_ascii_alphanumeric() || matches!(*c, b'_' | b'$');
    let length = bytes[start..].iter().take_while(|c| is_word(c)).count();
    start + length
}

/// Returns the end of the literal, quoted name, comment or single byte at `i`.
fn token_end(bytes: &[u8], i: usize) -> usize {
    let rest = &bytes[i..];
    match rest[0] {
        quote @ (b'\'' | b'"') => i + 1 + end_of(&rest[1..], &[quote]),
        b'-' if rest.starts_with(b"--") => i + end_of(rest, b"\n"),
        b'/' if rest.starts_with(b"/*") => i + 2 + end_of(&rest[2..], b"*/"),
        b'$' => dollar_end(bytes, i),
        _ => i + 1,
    }
}

fn end_of(bytes: &[u8], delimiter: &[u8]) -> usize {
    bytes
        .windows(delimiter.len())
        .position(|window| window == delimiter)
        .map_or(bytes.len(), |at| at + delimiter.len())
}

/// Returns the end of a dollar-quoted literal, or of the `$` of a parameter.
fn dollar_end(bytes: &[u8], i: usize) -> usize {
    let quote_end = tag_end(bytes, i + 1);
    if bytes.get(quote_end) != Some(&b'$') {
        return i + 1;
    }
    let tag = &bytes[i..=quote_end];
    quote_end + 1 + end_of(&bytes[quote_end + 1..], tag)
}

fn tag_end(bytes: &[u8], start: usize) -> usize {
    let is_tag = |c: &u8| c.is_ascii_alphabetic() || *c == b'_';
    start + bytes[start..].iter().take_while(|c| is_tag(c)).count()
}
