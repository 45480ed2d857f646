//! `DEALLOCATE`, which concerns the session's own names and no database.

use bytes::Bytes;

/// What a statement drops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Every named statement.
    All,
    /// One statement.
    Name(Bytes),
}

impl Target {
    /// What the text drops; none if it is no single, whole `DEALLOCATE`.
    pub fn of(sql: &str) -> Option<Self> {
        let rest = strip_word(sql.trim_start(), "DEALLOCATE")?;
        // A statement may itself be called PREPARE.
        let rest = match strip_word(rest, "PREPARE") {
            Some(name) if !is_end(name) => name,
            _ => rest,
        };
        if let Some(rest) = strip_word(rest, "ALL") {
            return is_end(rest).then_some(Self::All);
        }
        let (name, rest) = identifier(rest)?;
        is_end(rest).then(|| Self::Name(name.into_bytes().into()))
    }

    /// Tag of its completion.
    pub fn tag(&self) -> &'static [u8] {
        match self {
            Self::All => b"DEALLOCATE ALL\0",
            Self::Name(_) => b"DEALLOCATE\0",
        }
    }
}

/// What follows a keyword and the space after it.
fn strip_word<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let (head, rest) = text.split_at_checked(word.len())?;
    let ends = !rest.starts_with(is_name_part);
    (head.eq_ignore_ascii_case(word) && ends).then(|| rest.trim_start())
}

fn is_name_part(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '_' | '$')
}

fn is_end(text: &str) -> bool {
    text.trim_matches(|c: char| c.is_whitespace() || c == ';')
        .is_empty()
}

/// A name as the database reads it, and what follows.
fn identifier(text: &str) -> Option<(String, &str)> {
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
