//! Statements of the PostgreSQL dialect, made ready for the embedded library.

use std::{collections, ops};

use sqlparser::{ast, dialect, parser};

use crate::{failure, values};

/// Column types by name, over the tables of a statement.
pub type Columns = collections::HashMap<String, values::Type>;

/// What a statement does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Starts a transaction block; whether it is read-only.
    Begin(bool),
    /// Ends a transaction block with success.
    Commit,
    /// Ends a transaction block without effect.
    Rollback,
    /// Changes a parameter.
    Set(String, String),
    /// Returns parameters to their defaults.
    Reset,
    /// Shows a parameter.
    Show(String),
    /// Returns rows and changes nothing.
    Read,
    /// Changes rows; the command tag.
    Write(&'static str),
    /// Changes tables; the command tag.
    Define(&'static str),
    /// `pg_sleep(seconds)`, in ms.
    Sleep(u64),
    /// `platform.status()` and its kin: name and arguments.
    Platform(String, Vec<String>),
}

/// A statement ready to run.
#[derive(Clone, Debug)]
pub struct Statement {
    /// What it does.
    pub kind: Kind,
    /// Text for the embedded library.
    pub text: String,
    /// Types of the parameters.
    pub parameters: Vec<values::Type>,
    /// Types of the result columns that the library cannot tell.
    pub outputs: Vec<Option<values::Type>>,
}

/// Splits and parses a query string.
pub fn parse(sql: &str) -> Result<Vec<ast::Statement>, failure::Failure> {
    // The parser knows no `RESET`; `DISCARD ALL` has the same effect here.
    let is_reset = sql.trim_start().starts_with("RESET ALL");
    let sql = if is_reset { "DISCARD ALL" } else { sql };
    let parsed = parser::Parser::parse_sql(&dialect::PostgreSqlDialect {}, sql);
    parsed.map_err(|error| failure::Failure::sql("42601", error.to_string()))
}

/// Tables that a statement names.
pub fn tables(statement: &ast::Statement) -> Vec<String> {
    let mut names = Vec::new();
    let _ = ast::visit_relations(statement, |name| {
        names.push(last_part(name));
        ops::ControlFlow::<()>::Continue(())
    });
    names
}

fn last_part(name: &ast::ObjectName) -> String {
    let part = name.0.last().and_then(|part| part.as_ident());
    part.map_or(String::new(), |ident| ident.value.clone())
}

/// Prepares a statement with the column types of its tables.
pub fn prepare(mut statement: ast::Statement, columns: &Columns, given: &[u32]) -> Statement {
    let outputs = outputs(&statement, columns);
    let parameters = parameters(&statement, columns, given);
    let kind = kind(&mut statement);
    translate(&mut statement);
    Statement {
        kind,
        text: statement.to_string(),
        parameters,
        outputs,
    }
}

fn kind(statement: &mut ast::Statement) -> Kind {
    match statement {
        ast::Statement::StartTransaction { modes, .. } => {
            let only = ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly);
            Kind::Begin(modes.contains(&only))
        }
        ast::Statement::Commit { .. } => Kind::Commit,
        ast::Statement::Rollback { .. } => Kind::Rollback,
        ast::Statement::ShowVariable { variable } => {
            let parts: Vec<_> = variable.iter().map(|part| part.value.clone()).collect();
            Kind::Show(parts.join(".").to_ascii_lowercase())
        }
        ast::Statement::Set(set) => set_kind(&set.to_string()),
        ast::Statement::Discard { .. } => Kind::Reset,
        ast::Statement::Insert(_) => Kind::Write("INSERT"),
        ast::Statement::Update { .. } => Kind::Write("UPDATE"),
        ast::Statement::Delete(_) => Kind::Write("DELETE"),
        ast::Statement::CreateTable(_) => Kind::Define("CREATE TABLE"),
        ast::Statement::CreateIndex(_) => Kind::Define("CREATE INDEX"),
        ast::Statement::Drop { .. } => Kind::Define("DROP TABLE"),
        ast::Statement::AlterTable { .. } => Kind::Define("ALTER TABLE"),
        ast::Statement::Query(query) => query_kind(query),
        other => {
            let text = other.to_string();
            if text.to_ascii_uppercase().starts_with("RESET") {
                Kind::Reset
            } else {
                Kind::Define("OK")
            }
        }
    }
}

fn set_kind(text: &str) -> Kind {
    let rest = text
        .trim_start_matches("SET ")
        .trim_start_matches("SESSION ");
    let (name, value) = rest.split_once('=').unwrap_or((rest, ""));
    let value = value.trim().trim_matches('\'');
    Kind::Set(name.trim().to_ascii_lowercase(), value.to_string())
}

fn query_kind(query: &mut ast::Query) -> Kind {
    if let Some((name, arguments)) = platform_call(query) {
        return Kind::Platform(name, arguments);
    }
    if let Some(ms) = sleep(query) {
        return Kind::Sleep(ms);
    }
    let locks = !query.locks.is_empty();
    query.locks.clear();
    if locks {
        Kind::Write("SELECT")
    } else {
        Kind::Read
    }
}

fn select(query: &ast::Query) -> Option<&ast::Select> {
    match query.body.as_ref() {
        ast::SetExpr::Select(select) => Some(select),
        _ => None,
    }
}

fn platform_call(query: &ast::Query) -> Option<(String, Vec<String>)> {
    let table = &select(query)?.from.first()?.relation;
    let ast::TableFactor::Table { name, args, .. } = table else {
        return None;
    };
    let schema = name.0.first()?.as_ident()?;
    if name.0.len() != 2 || schema.value != "platform" {
        return None;
    }
    let arguments = args.as_ref().map_or(Vec::new(), |args| {
        let text = |arg: &ast::FunctionArg| arg.to_string().trim_matches('\'').to_string();
        args.args.iter().map(text).collect()
    });
    Some((last_part(name), arguments))
}

fn sleep(query: &ast::Query) -> Option<u64> {
    let ast::SelectItem::UnnamedExpr(ast::Expr::Function(call)) =
        select(query)?.projection.first()?
    else {
        return None;
    };
    let text = call.to_string();
    let seconds = text.strip_prefix("pg_sleep(")?.strip_suffix(')')?;
    let seconds: f64 = seconds.trim_matches('\'').parse().ok()?;
    Some((seconds * 1000.0) as u64)
}

/// Rewrites casts and types that the library does not know.
fn translate(statement: &mut ast::Statement) {
    if let ast::Statement::CreateTable(table) = statement {
        for column in &mut table.columns {
            if column
                .data_type
                .to_string()
                .to_ascii_lowercase()
                .contains("serial")
            {
                column.data_type = ast::DataType::Integer(None);
            }
        }
    }
    let _ = ast::visit_expressions_mut(statement, |expr| {
        if let ast::Expr::Cast {
            kind, data_type, ..
        } = expr
        {
            *kind = ast::CastKind::Cast;
            *data_type = match values::Type::of_name(&data_type.to_string()) {
                values::Type::Text => ast::DataType::Text,
                values::Type::Float8 => ast::DataType::Real,
                _ => ast::DataType::Integer(None),
            };
        }
        ops::ControlFlow::<()>::Continue(())
    });
}

fn placeholder(expr: &ast::Expr) -> Option<usize> {
    let ast::Expr::Value(value) = expr else {
        return None;
    };
    let ast::Value::Placeholder(name) = &value.value else {
        return None;
    };
    name.strip_prefix('$')?.parse().ok()
}

fn column_type(expr: &ast::Expr, columns: &Columns) -> Option<values::Type> {
    match expr {
        ast::Expr::Identifier(ident) => columns.get(&ident.value).copied(),
        ast::Expr::CompoundIdentifier(parts) => columns.get(&parts.last()?.value).copied(),
        ast::Expr::Nested(inner) => column_type(inner, columns),
        ast::Expr::Cast { data_type, .. } => Some(values::Type::of_name(&data_type.to_string())),
        ast::Expr::Value(value) => match &value.value {
            ast::Value::Number(..) => Some(values::Type::Int4),
            ast::Value::Boolean(_) => Some(values::Type::Bool),
            ast::Value::Placeholder(_) => None,
            _ => Some(values::Type::Text),
        },
        ast::Expr::Function(call) => function_type(&call.to_string(), columns),
        ast::Expr::BinaryOp { left, op, right } => match op {
            ast::BinaryOperator::Plus
            | ast::BinaryOperator::Minus
            | ast::BinaryOperator::Multiply
            | ast::BinaryOperator::Divide
            | ast::BinaryOperator::Modulo => {
                column_type(left, columns).or_else(|| column_type(right, columns))
            }
            ast::BinaryOperator::StringConcat => Some(values::Type::Text),
            _ => Some(values::Type::Bool),
        },
        _ => None,
    }
}

fn function_type(call: &str, columns: &Columns) -> Option<values::Type> {
    let lower = call.to_ascii_lowercase();
    let (name, rest) = lower.split_once('(')?;
    match name {
        "count" | "sum" => Some(values::Type::Int8),
        "pg_is_in_recovery" | "exists" => Some(values::Type::Bool),
        "pg_backend_pid" | "length" => Some(values::Type::Int4),
        "max" | "min" | "coalesce" | "abs" => {
            let inner = rest.split([',', ')']).next()?;
            columns.get(inner.trim()).copied()
        }
        _ => Some(values::Type::Text),
    }
}

fn outputs(statement: &ast::Statement, columns: &Columns) -> Vec<Option<values::Type>> {
    let items = match statement {
        ast::Statement::Query(query) => select(query).map(|select| &select.projection),
        ast::Statement::Insert(insert) => insert.returning.as_ref(),
        ast::Statement::Update { returning, .. } => returning.as_ref(),
        ast::Statement::Delete(delete) => delete.returning.as_ref(),
        _ => None,
    };
    let Some(items) = items else {
        return Vec::new();
    };
    let mut types = Vec::new();
    for item in items {
        match item {
            ast::SelectItem::UnnamedExpr(expr) | ast::SelectItem::ExprWithAlias { expr, .. } => {
                types.push(column_type(expr, columns));
            }
            _ => return Vec::new(),
        }
    }
    types
}

fn parameters(statement: &ast::Statement, columns: &Columns, given: &[u32]) -> Vec<values::Type> {
    let mut found = collections::BTreeMap::new();
    let mut note = |expr: &ast::Expr, kind: Option<values::Type>| {
        if let (Some(index), Some(kind)) = (placeholder(expr), kind) {
            found.entry(index).or_insert(kind);
        }
    };
    note_assignments(statement, columns, &mut note);
    let mut highest = 0;
    let _ = ast::visit_expressions(statement, |expr| {
        highest = highest.max(placeholder(expr).unwrap_or(0));
        match expr {
            ast::Expr::Cast {
                expr, data_type, ..
            } => {
                let kind = values::Type::of_name(&data_type.to_string());
                note(expr, Some(kind));
            }
            ast::Expr::BinaryOp { left, right, .. } => {
                note(left, column_type(right, columns));
                note(right, column_type(left, columns));
            }
            ast::Expr::InList { expr, list, .. } => {
                for item in list {
                    note(item, column_type(expr, columns));
                }
            }
            ast::Expr::Between {
                expr, low, high, ..
            } => {
                note(low, column_type(expr, columns));
                note(high, column_type(expr, columns));
            }
            _ => {}
        }
        ops::ControlFlow::<()>::Continue(())
    });
    if let ast::Statement::Query(query) = statement
        && let Some(ast::LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause
    {
        for expr in limit
            .iter()
            .chain(offset.iter().map(|offset| &offset.value))
        {
            note(expr, Some(values::Type::Int8));
        }
    }
    (1..=highest)
        .map(|index| {
            let oid = given.get(index - 1).copied().filter(|oid| *oid != 0);
            oid.map(values::Type::of_oid)
                .or_else(|| found.get(&index).copied())
                .unwrap_or(values::Type::Text)
        })
        .collect()
}

fn note_assignments(
    statement: &ast::Statement,
    columns: &Columns,
    note: &mut dyn FnMut(&ast::Expr, Option<values::Type>),
) {
    match statement {
        ast::Statement::Update { assignments, .. } => {
            for assignment in assignments {
                if let ast::AssignmentTarget::ColumnName(name) = &assignment.target {
                    note(&assignment.value, columns.get(&last_part(name)).copied());
                }
            }
        }
        ast::Statement::Insert(insert) => {
            let source = insert.source.as_ref().map(|query| query.body.as_ref());
            let Some(ast::SetExpr::Values(list)) = source else {
                return;
            };
            for row in &list.rows {
                for (column, expr) in insert.columns.iter().zip(row) {
                    note(expr, columns.get(&column.value).copied());
                }
            }
        }
        _ => {}
    }
}
