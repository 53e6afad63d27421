//! Schema of documents: names, types and bounds of keys.

use std::{net::SocketAddr, ops::RangeInclusive};

use super::{
    Diagnostic, Kind, Position,
    document::{Entry, Tree, Value},
};

/// Type of a key's value.
pub(super) enum ValueType {
    /// Map with fixed keys.
    Record(&'static [Field]),
    /// Map whose keys are names chosen by operators.
    MapOf(&'static ValueType),
    /// Text that is not empty.
    Text,
    /// IP address and port.
    Address,
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// Boolean.
    Boolean,
    /// Whole number within bounds.
    Number(RangeInclusive<u64>),
}

/// Key of a record.
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) value_type: ValueType,
}

const fn field(name: &'static str, value_type: ValueType) -> Field {
    Field { name, value_type }
}

const TARGET: ValueType = ValueType::Record(&[
    field("address", ValueType::Address),
    field("zone", ValueType::Text),
    field("slots", ValueType::Number(1..=10_000)),
    field("weight", ValueType::Number(1..=1_000)),
    field("leaving", ValueType::Boolean),
]);

const SERVICE: ValueType = ValueType::Record(&[
    field("address", ValueType::Address),
    field("urgency", ValueType::OneOf(&["high", "normal", "low"])),
    field("movable", ValueType::Boolean),
    field("deadline_ms", ValueType::Number(1..=600_000)),
    field("queue_ms", ValueType::Number(1..=600_000)),
    field("idle_s", ValueType::Number(1..=604_800)),
    field("drain_limit_s", ValueType::Number(1..=604_800)),
    field("warm_up_s", ValueType::Number(0..=86_400)),
    field("targets", ValueType::MapOf(&TARGET)),
]);

const DOCUMENT: ValueType = ValueType::Record(&[
    field("title", ValueType::Text),
    field("author", ValueType::Text),
    field("reason", ValueType::Text),
    field("services", ValueType::MapOf(&SERVICE)),
]);

/// Longest name of a service, target or availability zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checks one document against the schema and collects its errors.
pub(super) fn check(tree: &Tree, diagnostics: &mut Vec<Diagnostic>) {
    let Value::Map(entries) = &tree.value else {
        diagnostics.push(wrong_type(tree, "a map"));
        return;
    };
    for name in ["title", "author", "reason"] {
        if !entries.iter().any(|entry| &*entry.key == name) {
            diagnostics.push(Diagnostic::at(
                Kind::MissingKey,
                &tree.position,
                format!("the document has no {name:?}"),
            ));
        }
    }
    for entry in entries.iter().filter(|entry| entry.tree.value == Value::Null) {
        if &*entry.key != "services" {
            diagnostics.push(wrong_type(&entry.tree, "a string"));
        }
    }
    check_value(tree, &DOCUMENT, diagnostics);
}

fn check_value(tree: &Tree, value_type: &ValueType, diagnostics: &mut Vec<Diagnostic>) {
    if tree.value == Value::Null {
        return;
    }
    match (value_type, &tree.value) {
        (ValueType::Record(fields), Value::Map(entries)) => check_record(entries, fields, diagnostics),
        (ValueType::MapOf(value_type), Value::Map(entries)) => check_map(entries, value_type, diagnostics),
        (ValueType::Boolean, Value::Bool(_)) => {}
        (ValueType::Text, Value::String(text)) => check_text(text, &tree.position, diagnostics),
        (ValueType::Address, Value::String(text)) => check_address(text, &tree.position, diagnostics),
        (ValueType::OneOf(words), Value::String(text)) => {
            if !words.contains(&&**text) {
                let message = format!("{text:?} is not one of {}", words.join(", "));
                diagnostics.push(Diagnostic::at(Kind::InvalidValue, &tree.position, message));
            }
        }
        (ValueType::Number(bounds), Value::Number(text)) => {
            check_number(text, bounds, &tree.position, diagnostics)
        }
        (value_type, _) => diagnostics.push(wrong_type(tree, expected(value_type))),
    }
}

fn check_record(entries: &[Entry], fields: &[Field], diagnostics: &mut Vec<Diagnostic>) {
    for entry in entries {
        match fields.iter().find(|field| field.name == &*entry.key) {
            Some(field) => check_value(&entry.tree, &field.value_type, diagnostics),
            None => {
                let names: Vec<_> = fields.iter().map(|field| field.name).collect();
                let message = format!("unknown key {:?}, expected one of {}", entry.key, names.join(", "));
                diagnostics.push(Diagnostic::at(Kind::UnknownKey, &entry.position, message));
            }
        }
    }
}

fn check_map(entries: &[Entry], value_type: &ValueType, diagnostics: &mut Vec<Diagnostic>) {
    for entry in entries {
        if let Some(message) = bad_name(&entry.key) {
            diagnostics.push(Diagnostic::at(Kind::InvalidValue, &entry.position, message));
        }
        check_value(&entry.tree, value_type, diagnostics);
    }
}

fn check_text(text: &str, position: &Position, diagnostics: &mut Vec<Diagnostic>) {
    if text.trim().is_empty() {
        diagnostics.push(Diagnostic::at(Kind::InvalidValue, position, "the text is empty"));
    }
}

fn check_address(text: &str, position: &Position, diagnostics: &mut Vec<Diagnostic>) {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => {
            diagnostics.push(Diagnostic::at(Kind::InvalidValue, position, format!("{text:?} has port 0")));
        }
        Ok(_) => {}
        Err(_) => diagnostics.push(Diagnostic::at(
            Kind::InvalidValue,
            position,
            format!("{text:?} is not an IP address with a port"),
        )),
    }
}

fn check_number(
    text: &str,
    bounds: &RangeInclusive<u64>,
    position: &Position,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let within = text.parse::<u64>().is_ok_and(|number| bounds.contains(&number));
    if !within {
        let message = format!("{text} is not a whole number from {} to {}", bounds.start(), bounds.end());
        diagnostics.push(Diagnostic::at(Kind::InvalidValue, position, message));
    }
}

fn bad_name(name: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Some(format!(
            "the name {name:?} is not 1 to {MAX_NAME_BYTES} letters, digits, hyphens or underscores"
        ));
    }
    None
}

fn expected(value_type: &ValueType) -> &'static str {
    match value_type {
        ValueType::Record(_) | ValueType::MapOf(_) => "a map",
        ValueType::Text | ValueType::Address | ValueType::OneOf(_) => "a string",
        ValueType::Boolean => "a boolean",
        ValueType::Number(_) => "a number",
    }
}

fn wrong_type(tree: &Tree, expected: &str) -> Diagnostic {
    Diagnostic::at(
        Kind::InvalidValue,
        &tree.position,
        format!("expected {expected}, found {}", tree.value.kind()),
    )
}
