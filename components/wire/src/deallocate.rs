//! Parser for `DEALLOCATE`, which the proxy answers itself: a session's statement
//! names exist in the proxy only, not in a database.

use bytes::Bytes;

/// Prepared statements that a `DEALLOCATE` drops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Every named statement.
    All,
    /// The statement with this name.
    Name(Bytes),
}

impl Target {
    /// Parses a `DEALLOCATE`. Returns none if the text is not exactly one complete
    /// `DEALLOCATE` statement.
    pub fn parse(sql: &str) -> Option<Self> {
        let rest = strip_keyword(sql.trim_start(), "DEALLOCATE")?;
        // PREPARE is optional, and is also a valid statement name.
        let rest = match strip_keyword(rest, "PREPARE") {
            Some(name) if !is_end(name) => name,
            _ => rest,
        };
        if let Some(rest) = strip_keyword(rest, "ALL") {
            return is_end(rest).then_some(Self::All);
        }
        let (name, rest) = parse_identifier(rest)?;
        is_end(rest).then(|| Self::Name(name.into_bytes().into()))
    }

    /// Command tag for the CommandComplete message, with its zero byte.
    pub fn command_tag(&self) -> &'static [u8] {
        match self {
            Self::All => b"DEALLOCATE ALL\0",
            Self::Name(_) => b"DEALLOCATE\0",
        }
    }
}

/// Strips a keyword and the whitespace after the keyword.
fn strip_keyword<'a>(text: &'a str, keyword: &str) -> Option<&'a str> {
    let (head, rest) = text.split_at_checked(keyword.len())?;
    let is_word_end = !rest.starts_with(is_name_part);
    (head.eq_ignore_ascii_case(keyword) && is_word_end).then(|| rest.trim_start())
}

fn is_name_part(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '_' | '$')
}

fn is_end(text: &str) -> bool {
    text.trim_matches(|c: char| c.is_whitespace() || c == ';')
        .is_empty()
}

/// Parses an identifier by PostgreSQL's rules: unquoted names fold to lower case.
/// Returns the identifier and the text after it.
fn parse_identifier(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(|c| !is_name_part(c)).unwrap_or(text.len());
        let (name, rest) = text.split_at(end);
        return (!name.is_empty()).then(|| (name.to_lowercase(), rest));
    };
    let mut name = String::new();
    let mut rest = quoted;
    loop {
        let (part, after) = rest.split_once('"')?;
        name.push_str(part);
        match after.strip_prefix('"') {
            Some(more) => {
                name.push('"');
                rest = more;
            }
            None => return (!name.is_empty()).then_some((name, after)),
        }
    }
}
