//! Parameters of a session, and which of its `SET` statements stand.
//!
//! The proxy replays the statements that stand on each connection that the session
//! uses. As at the database, a change stands once its transaction has committed, and is
//! undone if the transaction, or the part since a savepoint, is rolled back.

use crate::classify;

/// Effect of a statement on the parameters of its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Changes no parameter and no transaction.
    None,
    /// Changes one parameter: its name, and the statement.
    Set(String, String),
    /// Returns the parameter with this name to its default.
    Unset(String),
    /// Returns all parameters to their defaults.
    Reset {
        /// Whether the prepared statements of the connection are dropped too.
        drops_statements: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets a savepoint.
    Savepoint(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
}

impl Effect {
    /// Effect of one statement.
    pub fn of(sql: &str) -> Self {
        let words = classify::words(sql);
        let word = |index: usize| words.get(index).map_or("", String::as_str);
        let last = || words.last().cloned().unwrap_or_default();
        match word(0) {
            "SET" if classify::is_session_wide(&words) => {
                let sql = sql.trim();
                Self::Set(parameter_name(sql).unwrap_or(sql.into()), sql.into())
            }
            "RESET" if word(1) == "ALL" => Self::Reset {
                drops_statements: false,
            },
            "RESET" => match parameter_name(sql) {
                Some(name) => Self::Unset(name),
                None => Self::Set(sql.into(), sql.into()),
            },
            "DISCARD" if word(1) == "ALL" => Self::Reset {
                drops_statements: true,
            },
            "COMMIT" | "END" => Self::Commit,
            "ROLLBACK" if words.iter().any(|word| word == "TO") => Self::RollbackTo(last()),
            "ROLLBACK" | "ABORT" => Self::Rollback,
            "SAVEPOINT" => Self::Savepoint(last()),
            _ => Self::None,
        }
    }

    /// Whether the effect changes parameters of the connection that runs the statement.
    pub fn alters_parameters(&self) -> bool {
        matches!(self, Self::Set(..) | Self::Unset(_) | Self::Reset { .. })
    }

    /// Statement that the session keeps.
    pub fn kept_text(&self) -> Option<&str> {
        match self {
            Self::Set(_, sql) => Some(sql),
            _ => None,
        }
    }
}

/// Name of the parameter that a `SET` or `RESET` changes; none if it cannot be told, as
/// beside a comment.
fn parameter_name(sql: &str) -> Option<String> {
    let is_separator = |c: char| c.is_whitespace() || matches!(c, '=' | ';');
    let mut words = sql.split(is_separator).filter(|word| !word.is_empty());
    let keyword = words.next()?;
    let mut name = words.next()?.to_ascii_lowercase();
    if name == "session" {
        name = words.next()?.to_ascii_lowercase();
    }
    if name == "time" && words.next()?.eq_ignore_ascii_case("zone") {
        name = "timezone".into();
    }
    let is_plain = name
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '_' | '.' | '$'));
    let is_keyword = ["SET", "RESET"].contains(&&*keyword.to_ascii_uppercase());
    (is_keyword && is_plain).then_some(name)
}

/// Parameters of a session.
#[derive(Debug, Default)]
pub struct Parameters {
    /// Names, and the statements that set them, in the order to replay.
    settled: Vec<(String, String)>,
    /// Changes in the open transaction, with its savepoints.
    pending: Vec<Effect>,
    /// Whether the open transaction has failed.
    has_failed: bool,
}

impl Parameters {
    /// Statements that set the parameters on another connection.
    pub fn statements(&self) -> impl Iterator<Item = &str> {
        self.settled.iter().map(|(_, sql)| sql.as_str())
    }

    /// Number of statements to keep if all pending changes stand.
    pub fn count_kept(&self) -> usize {
        let pending = self.pending.iter().filter_map(Effect::kept_text);
        self.settled.len() + pending.count()
    }

    /// Applies the effect of a statement that has succeeded; returns the statements that
    /// are no longer kept.
    pub fn apply(&mut self, effect: Effect) -> Vec<String> {
        match effect {
            Effect::None => Vec::new(),
            Effect::Commit if self.has_failed => self.roll_back(),
            Effect::Commit => self.settle(),
            Effect::Rollback => self.roll_back(),
            Effect::RollbackTo(savepoint) => {
                self.has_failed = false;
                let is_named = |effect: &Effect| *effect == Effect::Savepoint(savepoint.clone());
                let index = self.pending.iter().rposition(is_named);
                let undone = index.map(|index| self.pending.split_off(index + 1));
                texts(undone.unwrap_or_default())
            }
            Effect::Set(ref name, _) => {
                let is_replaced = |other: &Effect| matches!(other, Effect::Set(n, _) if n == name);
                let last = self.pending.pop_if(|other| is_replaced(other));
                self.pending.push(effect);
                texts(last)
            }
            _ => {
                self.pending.push(effect);
                Vec::new()
            }
        }
    }

    /// Records that a statement has failed, or was refused in a transaction.
    pub fn fail(&mut self) {
        self.has_failed = true;
    }

    /// Ends a batch after which no transaction is open; returns the statements that are no
    /// longer kept.
    pub fn end_transaction(&mut self) -> Vec<String> {
        if self.has_failed {
            self.roll_back()
        } else {
            self.settle()
        }
    }

    fn roll_back(&mut self) -> Vec<String> {
        self.has_failed = false;
        texts(self.pending.drain(..))
    }

    fn settle(&mut self) -> Vec<String> {
        let mut dropped = Vec::new();
        for effect in std::mem::take(&mut self.pending) {
            let name = match &effect {
                Effect::Set(name, _) | Effect::Unset(name) => Some(name.clone()),
                Effect::Reset { .. } => None,
                _ => continue,
            };
            let is_replaced =
                |(known, _): &mut (String, String)| name.as_ref().is_none_or(|n| n == known);
            let replaced = self.settled.extract_if(.., is_replaced);
            dropped.extend(replaced.map(|(_, sql)| sql));
            if let Effect::Set(name, sql) = effect {
                self.settled.push((name, sql));
            }
        }
        dropped
    }
}

fn texts(effects: impl IntoIterator<Item = Effect>) -> Vec<String> {
    let kept = effects.into_iter().filter_map(|effect| match effect {
        Effect::Set(_, sql) => Some(sql),
        _ => None,
    });
    kept.collect()
}
