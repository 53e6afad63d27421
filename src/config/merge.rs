/*!
Merges documents in order and records the location of each leaf.

Maps merge by key. A leaf replaces the earlier leaf at the same key, and keeps the
locations of the leaves that it replaced. `null` removes the key and everything
below it.
*/

use std::{collections::BTreeMap, sync::Arc};

use super::{
    Diagnostic, Diagnostics, File, MAX_FILES, Position,
    document::{self, Tree, Value},
    schema,
};

/// Result of a merge.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// Root of the merged tree.
    pub root: Branch,
}

/// Map of the merged tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// Location where the map was first set.
    pub position: Position,
    /// Children by key.
    pub entries: BTreeMap<Arc<str>, Item>,
}

/// Child of a branch.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Map.
    Branch(Branch),
    /// Single value.
    Leaf(Leaf),
}

/// Single value with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf {
    /// Value; neither null nor a map.
    pub value: Value,
    /// Location where the value was set.
    pub position: Position,
    /// Locations of the values that it replaced, oldest first.
    pub replaced: Vec<Position>,
}

impl Merged {
    /// Returns the item at a dotted path such as `services.booking.address`.
    pub fn find(&self, path: &str) -> Option<&Item> {
        let mut keys = path.split('.');
        let mut item = self.root.entries.get(keys.next()?)?;
        for key in keys {
            let Item::Branch(branch) = item else {
                return None;
            };
            item = branch.entries.get(key)?;
        }
        Some(item)
    }
}

/// Parses, checks and merges documents that are sorted by name.
///
/// # Errors
///
/// All errors in single documents.
pub fn merge(files: &[File]) -> Result<Merged, Diagnostics> {
    let mut diagnostics = Vec::new();
    if files.is_empty() {
        diagnostics.push(Diagnostic::folder("contains no document (a file named *.jsonc)"));
    }
    if files.len() > MAX_FILES {
        diagnostics
            .push(Diagnostic::folder(format!("{} documents, over the limit of {MAX_FILES}", files.len())));
    }
    let top = Position { file: "folder".into(), line: 1, column: 1 };
    let mut root = Branch { position: top, entries: BTreeMap::new() };
    for file in files {
        match document::parse(file) {
            Ok(tree) => {
                schema::check(&tree, &mut diagnostics);
                merge_map(&mut root, &tree);
            }
            Err(found) => diagnostics.extend(found),
        }
    }
    if diagnostics.is_empty() { Ok(Merged { root }) } else { Err(Diagnostics::new(diagnostics)) }
}

fn merge_map(branch: &mut Branch, tree: &Tree) {
    let Value::Map(entries) = &tree.value else {
        return;
    };
    for entry in entries {
        match &entry.tree.value {
            Value::Null => {
                branch.entries.remove(&entry.key);
            }
            Value::Map(_) => {
                let position = entry.position.clone();
                let new_branch = || Item::Branch(Branch { position, entries: BTreeMap::new() });
                let item = branch.entries.entry(entry.key.clone()).or_insert_with(new_branch);
                if let Item::Branch(child) = item {
                    merge_map(child, &entry.tree);
                }
            }
            value => merge_leaf(branch, &entry.key, value, &entry.tree.position),
        }
    }
}

fn merge_leaf(branch: &mut Branch, key: &Arc<str>, value: &Value, position: &Position) {
    let mut replaced = Vec::new();
    if let Some(Item::Leaf(older)) = branch.entries.get(key) {
        replaced.clone_from(&older.replaced);
        replaced.push(older.position.clone());
    }
    let leaf = Leaf { value: value.clone(), position: position.clone(), replaced };
    branch.entries.insert(key.clone(), Item::Leaf(leaf));
}
