//! The numbers of log events in the code are those in docs/EVENTS.md.

use std::{collections::BTreeSet, fs, path::Path};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

/// Three-digit numbers that follow a mark.
fn numbers_after(text: &str, mark: &str) -> BTreeSet<u32> {
    let number = |rest: &str| rest.get(..3).and_then(|digits| digits.parse().ok());
    text.split(mark).skip(1).filter_map(number).collect()
}

#[test]
fn catalogue_is_complete() {
    let mut in_code = numbers_after(&read("src/node/action.rs"), "=> ");
    for folder in ["crates/ragwortlbd/src", "crates/ragwortlbd/src/relay", "platform/src"] {
        for entry in fs::read_dir(root().join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.is_file() {
                // Only the start of the text is matched, as it may be on the line after the macro.
                in_code.extend(numbers_after(&fs::read_to_string(path).unwrap(), "\"E"));
            }
        }
    }
    let in_docs = numbers_after(&read("docs/EVENTS.md"), "\n| E");
    assert_eq!(in_code, in_docs);
}
