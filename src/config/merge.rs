/*!
Merges documents in order and records the location of each leaf.

Maps merge by key. A leaf replaces the earlier leaf at the same key, and keeps the
locations of the leaves that it replaced. `null` removes the key and everything
below it. Entries that leave the merged tree as it was are recorded as warnings.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    Diagnostic, Diagnostics, File, Kind, MAX_FILES, Position,
    document::{self, Tree, Value},
    schema,
};

/// Result of a merge.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// Root of the merged tree.
    pub root: Branch,
    /// Warnings about entries and documents without an effect on the tree.
    pub warnings: Vec<Diagnostic>,
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
    /// Location that first set this value; an earlier one if later documents repeated it.
    pub first: Position,
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

/// Key below which documents describe the configuration. The other keys, such as the
/// title, describe the document itself.
const SERVICES: &str = "services";

/// Parses, checks and merges documents that are sorted by name.
///
/// # Errors
///
/// All errors in single documents.
pub fn merge(files: &[File]) -> Result<Merged, Diagnostics> {
    match merge_all(files) {
        (Some(merged), errors) if errors.is_empty() => Ok(merged),
        (_, errors) => Err(Diagnostics::new(errors)),
    }
}

/// Parses, checks and merges documents. The tree is returned if every document could be
/// parsed, also if some do not follow the schema.
pub(super) fn merge_all(files: &[File]) -> (Option<Merged>, Vec<Diagnostic>) {
    let mut errors = Vec::new();
    if files.is_empty() {
        let message = "contains no document (a file named *.jsonc)";
        errors.push(Diagnostic::folder(Kind::InvalidDocument, message));
        return (None, errors);
    }
    if files.len() > MAX_FILES {
        let message = format!("{} documents, over the limit of {MAX_FILES}", files.len());
        errors.push(Diagnostic::folder(Kind::InvalidDocument, message));
    }
    let top = Position { file: "folder".into(), line: 1, column: 1 };
    let mut root = Branch { position: top, entries: BTreeMap::new() };
    let mut effects = Effects::default();
    let mut starts = Vec::new();
    for file in files {
        match document::parse(file) {
            Ok(tree) => {
                schema::check(&tree, &mut errors);
                merge_map(&mut root, &tree, "", &mut effects);
                starts.push(tree.position);
            }
            Err(found) => errors.extend(found),
        }
    }
    if starts.len() < files.len() {
        return (None, errors);
    }
    let warnings = effects.warnings(&root, starts);
    (Some(Merged { root, warnings }), errors)
}

/// Effects of single documents on the merged tree.
#[derive(Default)]
struct Effects {
    /// Warnings about entries that change nothing.
    warnings: Vec<Diagnostic>,
    /// Documents that removed a key or added an empty map. Whether later documents
    /// undo that is not tracked, so these documents count as effective.
    effective: BTreeSet<Arc<str>>,
    /// Documents with an entry that changed the tree when it was merged.
    changing: BTreeSet<Arc<str>>,
}

impl Effects {
    fn add_warning(&mut self, kind: Kind, position: &Position, message: String) {
        self.warnings.push(Diagnostic::at(kind, position, message));
    }

    /// All warnings of the merge, given the starts of all documents.
    fn warnings(mut self, root: &Branch, starts: Vec<Position>) -> Vec<Diagnostic> {
        if let Some(Item::Branch(services)) = root.entries.get(SERVICES) {
            add_origins(services, &mut self.effective);
        }
        let with_warning: BTreeSet<Arc<str>> = self
            .warnings
            .iter()
            .filter_map(|warning| Some(warning.position.as_ref()?.file.clone()))
            .collect();
        for start in starts {
            if self.effective.contains(&start.file) {
                continue;
            }
            if self.changing.contains(&start.file) {
                let message = "later documents override or remove everything that this document sets";
                self.add_warning(Kind::OverriddenDocument, &start, message.to_owned());
            } else if !with_warning.contains(&start.file) {
                self.add_warning(Kind::NoEffect, &start, "the document sets nothing".to_owned());
            }
        }
        self.warnings
    }
}

/// Adds the documents that set the values of a branch.
fn add_origins(branch: &Branch, files: &mut BTreeSet<Arc<str>>) {
    for item in branch.entries.values() {
        match item {
            Item::Branch(child) => add_origins(child, files),
            Item::Leaf(leaf) => {
                files.insert(leaf.first.file.clone());
            }
        }
    }
}

/// Reports whether a dotted path is that of the services or of a part of them.
fn is_in_services(path: &str) -> bool {
    path.split('.').next() == Some(SERVICES)
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Merges a map into the branch at a dotted path.
fn merge_map(branch: &mut Branch, tree: &Tree, path: &str, effects: &mut Effects) {
    let Value::Map(entries) = &tree.value else {
        return;
    };
    for entry in entries {
        let path = join(path, &entry.key);
        let file = &entry.position.file;
        match &entry.tree.value {
            Value::Null => {
                if branch.entries.remove(&entry.key).is_some() {
                    effects.effective.insert(file.clone());
                } else if is_in_services(&path) {
                    let message = format!("{path} is removed, but no earlier document sets it");
                    effects.add_warning(Kind::NoEffect, &entry.position, message);
                }
            }
            Value::Map(children) => {
                let is_known = branch.entries.contains_key(&entry.key);
                if children.is_empty() && is_known {
                    let message = format!("an empty map changes nothing in {path}");
                    effects.add_warning(Kind::NoEffect, &entry.position, message);
                } else if children.is_empty() && path != SERVICES {
                    effects.effective.insert(file.clone());
                }
                let position = entry.position.clone();
                let new_branch = || Item::Branch(Branch { position, entries: BTreeMap::new() });
                let item = branch.entries.entry(entry.key.clone()).or_insert_with(new_branch);
                if let Item::Branch(child) = item {
                    merge_map(child, &entry.tree, &path, effects);
                }
            }
            value => merge_leaf(branch, &entry.key, value, &entry.tree.position, &path, effects),
        }
    }
}

fn merge_leaf(
    branch: &mut Branch,
    key: &Arc<str>,
    value: &Value,
    position: &Position,
    path: &str,
    effects: &mut Effects,
) {
    let mut leaf = Leaf {
        value: value.clone(),
        position: position.clone(),
        replaced: Vec::new(),
        first: position.clone(),
    };
    let mut changes = is_in_services(path);
    if let Some(Item::Leaf(older)) = branch.entries.get(key) {
        leaf.replaced.clone_from(&older.replaced);
        leaf.replaced.push(older.position.clone());
        if older.value == *value {
            leaf.first.clone_from(&older.first);
            changes = false;
            if is_in_services(path) {
                let message = format!("{path} already has this value, set at {}", older.first);
                effects.add_warning(Kind::RepeatedValue, position, message);
            }
        }
    }
    if changes {
        effects.changing.insert(position.file.clone());
    }
    branch.entries.insert(key.clone(), Item::Leaf(leaf));
}
