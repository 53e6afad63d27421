/*!
Parses one document into a tree that records the location of each value.

This step finds errors of a document's form: bytes that are not UTF-8, a size over
the limit, bad syntax, a key given twice. The schema checks what the keys mean.
*/

use std::sync::Arc;

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast};

use super::{Diagnostic, File, Kind, MAX_FILE_BYTES, Position};

/// Value with its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    /// Start of the value.
    pub position: Position,
    /// The value itself.
    pub value: Value,
}

/// Value by its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Removes the key that earlier documents set.
    Null,
    /// Boolean.
    Bool(bool),
    /// Number in its source form.
    Number(Arc<str>),
    /// String.
    String(Arc<str>),
    /// List. Only settings of programs contain lists; no key of a configuration takes one.
    List(Vec<Tree>),
    /// Map, in source order.
    Map(Vec<Entry>),
}

impl Value {
    /// Name of the kind, for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "a boolean",
            Value::Number(_) => "a number",
            Value::String(_) => "a string",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }
}

/// Key and value of a map.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: Arc<str>,
    /// Start of the key.
    pub position: Position,
    /// Value.
    pub tree: Tree,
}

/// Converts byte offsets to lines and columns.
struct LineIndex<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(file: &Arc<str>, text: &'a str) -> LineIndex<'a> {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0).chain(breaks.map(|(at, _)| at + 1)).collect();
        LineIndex { file: file.clone(), text, starts }
    }

    fn position(&self, offset: usize) -> Position {
        let offset = self.text.floor_char_boundary(offset.min(self.text.len()));
        let line = self.starts.partition_point(|start| *start <= offset) - 1;
        let column = self.text[self.starts[line]..offset].chars().count() + 1;
        Position { file: self.file.clone(), line: line as u32 + 1, column: column as u32 }
    }
}

/// Parses a document.
///
/// # Errors
///
/// All errors of form. Bad syntax is reported once, where parsing stops.
pub fn parse(file: &File) -> Result<Tree, Vec<Diagnostic>> {
    let start = Position { file: file.name.clone(), line: 1, column: 1 };
    if file.bytes.len() > MAX_FILE_BYTES {
        let message = format!("{} bytes, over the limit of {MAX_FILE_BYTES}", file.bytes.len());
        return Err(vec![Diagnostic::at(Kind::InvalidDocument, &start, message)]);
    }
    let text = match std::str::from_utf8(&file.bytes) {
        Ok(text) => text,
        Err(error) => return Err(vec![not_utf8(file, error.valid_up_to())]),
    };
    let lines = LineIndex::new(&file.name, text);
    let options = ParseOptions { allow_loose_object_property_names: false, ..Default::default() };
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            let at = lines.position(error.range().start);
            return Err(vec![Diagnostic::at(Kind::InvalidDocument, &at, error.kind().to_string())]);
        }
    };
    let Some(value) = parsed.value else {
        return Err(vec![Diagnostic::at(Kind::InvalidDocument, &start, "the document is empty")]);
    };
    let mut diagnostics = Vec::new();
    let tree = convert(&value, &lines, &mut diagnostics);
    if diagnostics.is_empty() { Ok(tree) } else { Err(diagnostics) }
}

fn not_utf8(file: &File, valid: usize) -> Diagnostic {
    let text = std::str::from_utf8(&file.bytes[..valid]).unwrap_or_default();
    let at = LineIndex::new(&file.name, text).position(valid);
    Diagnostic::at(Kind::InvalidDocument, &at, "bytes that are not UTF-8")
}

fn convert(value: &ast::Value<'_>, lines: &LineIndex<'_>, diagnostics: &mut Vec<Diagnostic>) -> Tree {
    let position = lines.position(value.range().start);
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(lit) => Value::Bool(lit.value),
        ast::Value::NumberLit(lit) => Value::Number(lit.value.into()),
        ast::Value::StringLit(lit) => Value::String(lit.value.as_ref().into()),
        ast::Value::Array(array) => {
            Value::List(array.elements.iter().map(|element| convert(element, lines, diagnostics)).collect())
        }
        ast::Value::Object(object) => Value::Map(convert_map(object, lines, diagnostics)),
    };
    Tree { position, value }
}

fn convert_map(
    object: &ast::Object<'_>,
    lines: &LineIndex<'_>,
    diagnostics: &mut Vec<Diagnostic>,
) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for property in &object.properties {
        let key: Arc<str> = property.name.as_str().into();
        let position = lines.position(property.range.start);
        if let Some(first) = entries.iter().find(|entry| entry.key == key) {
            let line = first.position.line;
            let message = format!("key {key:?} given twice, first on line {line}");
            diagnostics.push(Diagnostic::at(Kind::DuplicateKey, &position, message));
        }
        let tree = convert(&property.value, lines, diagnostics);
        entries.push(Entry { key, position, tree });
    }
    entries
}
