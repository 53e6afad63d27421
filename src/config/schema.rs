//! Names, kinds and bounds of the keys that documents may hold.

use std::{net::SocketAddr, ops::RangeInclusive};

use super::{
    Diagnostic, Position,
    document::{Entry, Tree, Value},
};

/// What a key holds.
pub(super) enum Shape {
    /// Map whose keys are fixed.
    Record(&'static [Field]),
    /// Map whose keys are names chosen by operators.
    Named(&'static Shape),
    /// Any text but the empty one.
    Text,
    /// IP address and port.
    Address,
    /// One of some words.
    Word(&'static [&'static str]),
    /// Boolean.
    Flag,
    /// Whole number within bounds.
    Number(RangeInclusive<u64>),
}

/// Key of a record.
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) shape: Shape,
}

const fn field(name: &'static str, shape: Shape) -> Field {
    Field { name, shape }
}

const TARGET: Shape = Shape::Record(&[
    field("address", Shape::Address),
    field("zone", Shape::Text),
    field("slots", Shape::Number(1..=10_000)),
    field("weight", Shape::Number(1..=1_000)),
    field("leaving", Shape::Flag),
]);

const SERVICE: Shape = Shape::Record(&[
    field("address", Shape::Address),
    field("urgency", Shape::Word(&["high", "normal", "low"])),
    field("movable", Shape::Flag),
    field("deadline_ms", Shape::Number(1..=600_000)),
    field("queue_ms", Shape::Number(1..=600_000)),
    field("idle_s", Shape::Number(1..=604_800)),
    field("drain_limit_s", Shape::Number(1..=604_800)),
    field("warm_up_s", Shape::Number(0..=86_400)),
    field("targets", Shape::Named(&TARGET)),
]);

const DOCUMENT: Shape = Shape::Record(&[
    field("title", Shape::Text),
    field("author", Shape::Text),
    field("reason", Shape::Text),
    field("services", Shape::Named(&SERVICE)),
]);

/// Longest name of a service, target or availability zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checks one document against the schema and collects what is wrong.
pub(super) fn check(tree: &Tree, diagnostics: &mut Vec<Diagnostic>) {
    let Value::Map(entries) = &tree.value else {
        diagnostics.push(wrong_kind(tree, "a map"));
        return;
    };
    for name in ["title", "author", "reason"] {
        if !entries.iter().any(|entry| &*entry.key == name) {
            diagnostics.push(Diagnostic::at(&tree.position, format!("the document has no {name:?}")));
        }
    }
    for entry in entries.iter().filter(|entry| entry.tree.value == Value::Null) {
        if &*entry.key != "services" {
            diagnostics.push(wrong_kind(&entry.tree, "a string"));
        }
    }
    check_shape(tree, &DOCUMENT, diagnostics);
}

fn check_shape(tree: &Tree, shape: &Shape, diagnostics: &mut Vec<Diagnostic>) {
    if tree.value == Value::Null {
        return;
    }
    match (shape, &tree.value) {
        (Shape::Record(fields), Value::Map(entries)) => check_record(entries, fields, diagnostics),
        (Shape::Named(shape), Value::Map(entries)) => check_named(entries, shape, diagnostics),
        (Shape::Flag, Value::Bool(_)) => {}
        (Shape::Text, Value::String(text)) => check_text(text, &tree.position, diagnostics),
        (Shape::Address, Value::String(text)) => check_address(text, &tree.position, diagnostics),
        (Shape::Word(words), Value::String(text)) => {
            if !words.contains(&&**text) {
                let message = format!("{text:?} is not one of {}", words.join(", "));
                diagnostics.push(Diagnostic::at(&tree.position, message));
            }
        }
        (Shape::Number(bounds), Value::Number(text)) => {
            check_number(text, bounds, &tree.position, diagnostics)
        }
        (shape, _) => diagnostics.push(wrong_kind(tree, expected(shape))),
    }
}

fn check_record(entries: &[Entry], fields: &[Field], diagnostics: &mut Vec<Diagnostic>) {
    for entry in entries {
        match fields.iter().find(|field| field.name == &*entry.key) {
            Some(field) => check_shape(&entry.tree, &field.shape, diagnostics),
            None => {
                let names: Vec<_> = fields.iter().map(|field| field.name).collect();
                let message = format!("unknown key {:?}, expected one of {}", entry.key, names.join(", "));
                diagnostics.push(Diagnostic::at(&entry.position, message));
            }
        }
    }
}

fn check_named(entries: &[Entry], shape: &Shape, diagnostics: &mut Vec<Diagnostic>) {
    for entry in entries {
        if let Some(message) = bad_name(&entry.key) {
            diagnostics.push(Diagnostic::at(&entry.position, message));
        }
        check_shape(&entry.tree, shape, diagnostics);
    }
}

fn check_text(text: &str, position: &Position, diagnostics: &mut Vec<Diagnostic>) {
    if text.trim().is_empty() {
        diagnostics.push(Diagnostic::at(position, "the text is empty"));
    }
}

fn check_address(text: &str, position: &Position, diagnostics: &mut Vec<Diagnostic>) {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => {
            diagnostics.push(Diagnostic::at(position, format!("{text:?} has port 0")));
        }
        Ok(_) => {}
        Err(_) => {
            diagnostics.push(Diagnostic::at(position, format!("{text:?} is not an IP address with a port")))
        }
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
        diagnostics.push(Diagnostic::at(position, message));
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

fn expected(shape: &Shape) -> &'static str {
    match shape {
        Shape::Record(_) | Shape::Named(_) => "a map",
        Shape::Text | Shape::Address | Shape::Word(_) => "a string",
        Shape::Flag => "a boolean",
        Shape::Number(_) => "a number",
    }
}

fn wrong_kind(tree: &Tree, expected: &str) -> Diagnostic {
    Diagnostic::at(&tree.position, format!("expected {expected}, found {}", tree.value.kind()))
}
