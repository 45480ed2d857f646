//! Values of a few types in the text and binary formats.

use bytes::{Buf, BufMut, BytesMut};
use rusqlite::types;

use crate::failure;

/// A type that the stand-in knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// `bool`.
    Bool,
    /// `int4`.
    Int4,
    /// `int8`.
    Int8,
    /// `float8`.
    Float8,
    /// `text`.
    Text,
}

impl Type {
    /// Object identifier.
    pub fn oid(self) -> u32 {
        match self {
            Type::Bool => 16,
            Type::Int8 => 20,
            Type::Int4 => 23,
            Type::Text => 25,
            Type::Float8 => 701,
        }
    }

    /// Size, or -1 for a variable one.
    pub fn size(self) -> i16 {
        match self {
            Type::Bool => 1,
            Type::Int4 => 4,
            Type::Int8 | Type::Float8 => 8,
            Type::Text => -1,
        }
    }

    /// Type of an object identifier; text for unknown ones.
    pub fn of_oid(oid: u32) -> Self {
        match oid {
            16 => Type::Bool,
            20 => Type::Int8,
            21 | 23 => Type::Int4,
            700 | 701 => Type::Float8,
            _ => Type::Text,
        }
    }

    /// Type of a declared name; text for unknown ones.
    pub fn of_name(name: &str) -> Self {
        let name = name.to_ascii_lowercase();
        if name.contains("bigint") || name.contains("int8") || name.contains("bigserial") {
            Type::Int8
        } else if name.contains("int") || name.contains("serial") {
            Type::Int4
        } else if name.contains("bool") {
            Type::Bool
        } else if name.contains("double") || name.contains("float") || name.contains("real") {
            Type::Float8
        } else {
            Type::Text
        }
    }
}

/// Appends a column of a DataRow.
pub fn put_column(out: &mut BytesMut, value: &types::Value, kind: Type, binary: bool) {
    let start = out.len();
    out.put_i32(-1);
    if matches!(value, types::Value::Null) {
        return;
    }
    if binary {
        put_binary(out, value, kind);
    } else {
        out.put_slice(text(value, kind).as_bytes());
    }
    let length = i32::try_from(out.len() - start - 4).unwrap_or(i32::MAX);
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn integer(value: &types::Value) -> i64 {
    match value {
        types::Value::Integer(n) => *n,
        types::Value::Real(x) => *x as i64,
        types::Value::Text(text) => text.parse().unwrap_or(0),
        _ => 0,
    }
}

fn put_binary(out: &mut BytesMut, value: &types::Value, kind: Type) {
    match kind {
        Type::Bool => out.put_u8(u8::from(integer(value) != 0)),
        Type::Int4 => out.put_i32(i32::try_from(integer(value)).unwrap_or(i32::MAX)),
        Type::Int8 => out.put_i64(integer(value)),
        Type::Float8 => out.put_f64(match value {
            types::Value::Real(x) => *x,
            other => integer(other) as f64,
        }),
        Type::Text => out.put_slice(text(value, kind).as_bytes()),
    }
}

/// Text form of a value.
pub fn text(value: &types::Value, kind: Type) -> String {
    match (value, kind) {
        (types::Value::Integer(n), Type::Bool) => if *n != 0 { "t" } else { "f" }.into(),
        (types::Value::Integer(n), _) => n.to_string(),
        (types::Value::Real(x), _) => x.to_string(),
        (types::Value::Text(text), _) => text.clone(),
        (types::Value::Blob(bytes), _) => String::from_utf8_lossy(bytes).into_owned(),
        (types::Value::Null, _) => String::new(),
    }
}

/// Reads a parameter.
pub fn read(
    bytes: Option<&[u8]>,
    kind: Type,
    binary: bool,
) -> Result<types::Value, failure::Failure> {
    let Some(bytes) = bytes else {
        return Ok(types::Value::Null);
    };
    if binary {
        return read_binary(bytes, kind);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| failure::Failure::Malformed)?;
    let bad = |_| failure::Failure::sql("22P02", format!("invalid input: {text}"));
    Ok(match kind {
        Type::Bool => types::Value::Integer(i64::from(matches!(text, "t" | "true" | "1" | "on"))),
        Type::Int4 | Type::Int8 => types::Value::Integer(text.parse().map_err(bad)?),
        Type::Float8 => types::Value::Real(text.parse().unwrap_or(f64::NAN)),
        Type::Text => types::Value::Text(text.into()),
    })
}

fn read_binary(mut bytes: &[u8], kind: Type) -> Result<types::Value, failure::Failure> {
    let bad = failure::Failure::sql("22P03", "incorrect binary data format");
    Ok(match (kind, bytes.len()) {
        (Type::Bool, 1) => types::Value::Integer(i64::from(bytes.get_u8())),
        (Type::Int4 | Type::Int8, 2) => types::Value::Integer(bytes.get_i16().into()),
        (Type::Int4 | Type::Int8, 4) => types::Value::Integer(bytes.get_i32().into()),
        (Type::Int4 | Type::Int8, 8) => types::Value::Integer(bytes.get_i64()),
        (Type::Float8, 8) => types::Value::Real(bytes.get_f64()),
        (Type::Text, _) => {
            let text = std::str::from_utf8(bytes).map_err(|_| bad)?;
            types::Value::Text(text.into())
        }
        _ => return Err(bad),
    })
}
