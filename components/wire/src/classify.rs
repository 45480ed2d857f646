//! What a statement may do, from its text.
//!
//! A statement counts as a read only if nothing in it can write; a function
//! that writes all the same is refused by a replica with 25006, runs nothing,
//! and is sent to the primary.

use crate::deallocate;

/// StatementClass of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// A replica will do.
    Read,
    /// The primary is needed.
    Write,
    /// Changes a parameter of the session.
    Set,
    /// Drops names of the session; no database is needed.
    Deallocate,
    /// Not carried by the proxy.
    Unsupported,
}

/// What a statement does to the transaction block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Boundary {
    /// Starts it.
    Begin,
    /// Ends it with success.
    Commit,
    /// Neither.
    Inside,
}

/// Tells whether a statement starts or commits a transaction block.
pub fn boundary(sql: &str) -> Boundary {
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

/// Words that make a query write or lock.
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

/// Classifies one statement, or several separated by semicolons.
pub fn classify(sql: &str) -> StatementClass {
    let words = Words::of(sql);
    let Some(first) = words.list.first() else {
        return StatementClass::Read;
    };
    let has = |word: &str| words.list.iter().any(|w| w == word);
    match first.as_str() {
        "COPY" if has("STDIN") => StatementClass::Unsupported,
        "DEALLOCATE" if deallocate::Target::of(sql).is_some() => StatementClass::Deallocate,
        "LISTEN" | "PREPARE" | "EXECUTE" | "DEALLOCATE" | "LOAD" => StatementClass::Unsupported,
        "CREATE" if has("TEMP") || has("TEMPORARY") => StatementClass::Unsupported,
        _ if words.several => StatementClass::Write,
        "SELECT" | "VALUES" | "TABLE" | "SHOW" | "WITH" | "EXPLAIN" => {
            let locks = words.list.iter().any(|w| w.starts_with("PG_ADVISORY"));
            let writes = WRITE_WORDS.iter().any(|word| has(word));
            if writes || locks {
                StatementClass::Write
            } else {
                StatementClass::Read
            }
        }
        "SET" if has("LOCAL") || has("TRANSACTION") => StatementClass::Write,
        "SET" | "RESET" => StatementClass::Set,
        "DISCARD" => StatementClass::Set,
        "BEGIN" | "START" if has("ONLY") => StatementClass::Read,
        _ => StatementClass::Write,
    }
}

/// Upper-case words outside of literals, quoted names and comments.
struct Words {
    list: Vec<String>,
    several: bool,
}

impl Words {
    fn of(sql: &str) -> Self {
        let bytes = sql.as_bytes();
        let mut words = Words {
            list: Vec::new(),
            several: false,
        };
        let mut ended = false;
        let mut i = 0;
        while i < bytes.len() {
            let c = bytes[i];
            if c.is_ascii_alphabetic() || c == b'_' {
                let end = end_of_word(bytes, i);
                words.list.push(sql[i..end].to_ascii_uppercase());
                words.several |= ended;
                i = end;
                continue;
            }
            ended |= c == b';';
            words.several |=
                ended && !(c == b';' || c.is_ascii_whitespace() || c == b'-' || c == b'/');
            i = skip(bytes, i);
        }
        words
    }
}

fn end_of_word(bytes: &[u8], start: usize) -> usize {
    let word = |c: &u8| c.is_ascii_alphanumeric() || matches!(*c, b'_' | b'$');
    let length = bytes[start..].iter().take_while(|c| word(c)).count();
    start + length
}

/// End of the literal, quoted name, comment or single byte at `i`.
fn skip(bytes: &[u8], i: usize) -> usize {
    let rest = &bytes[i..];
    match rest[0] {
        quote @ (b'\'' | b'"') => i + 1 + until(&rest[1..], &[quote]),
        b'-' if rest.starts_with(b"--") => i + until(rest, b"\n"),
        b'/' if rest.starts_with(b"/*") => i + 2 + until(&rest[2..], b"*/"),
        b'$' => skip_dollar(bytes, i),
        _ => i + 1,
    }
}

fn until(bytes: &[u8], end: &[u8]) -> usize {
    bytes
        .windows(end.len())
        .position(|window| window == end)
        .map_or(bytes.len(), |at| at + end.len())
}

/// End of a dollar-quoted literal, or of a parameter.
fn skip_dollar(bytes: &[u8], i: usize) -> usize {
    let tag_end = end_of_tag(bytes, i + 1);
    if bytes.get(tag_end) != Some(&b'$') {
        return i + 1;
    }
    let tag = &bytes[i..=tag_end];
    tag_end + 1 + until(&bytes[tag_end + 1..], tag)
}

fn end_of_tag(bytes: &[u8], start: usize) -> usize {
    let tag = |c: &u8| c.is_ascii_alphabetic() || *c == b'_';
    start + bytes[start..].iter().take_while(|c| tag(c)).count()
}
