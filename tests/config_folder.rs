//! Folders of documents: merging, origins of values, and all error messages.

use std::fmt::Write as _;

use ragwortlb::config::{File, Folder, merge::Item};

/// Parses documents separated by header lines: `== name`, `== name hex=..` to
/// append a byte, or `== name size=..` to pad to a size.
fn folder(input: &str) -> Folder {
    let mut files = Vec::new();
    for part in input.split("== ").skip(1) {
        let (header, body) = part.split_once('\n').unwrap_or((part, ""));
        let mut words = header.split_whitespace();
        let name = words.next().unwrap_or_default();
        let mut bytes = body.as_bytes().to_vec();
        for word in words {
            match word.split_once('=') {
                Some(("hex", hex)) => bytes.push(u8::from_str_radix(hex, 16).unwrap()),
                Some(("size", size)) => bytes.resize(size.parse().unwrap(), b' '),
                _ => panic!("unknown option {word} in a header line"),
            }
        }
        files.push(File::new(name, bytes));
    }
    Folder::new(files)
}

fn check(folder: &Folder) -> String {
    match folder.check() {
        Ok(config) => format!("valid, {} services\n", config.services.len()),
        Err(diagnostics) => format!("{diagnostics}\n"),
    }
}

fn merge(folder: &Folder) -> String {
    match folder.check() {
        Ok(config) => config.to_json() + "\n",
        Err(diagnostics) => format!("{diagnostics}\n"),
    }
}

fn explain(folder: &Folder, path: &str) -> String {
    let mut text = String::new();
    match folder.merge().unwrap().find(path) {
        Some(Item::Leaf(leaf)) => {
            let _ = writeln!(text, "{:?} at {}", leaf.value, leaf.position);
            for place in &leaf.replaced {
                let _ = writeln!(text, "replaced {place}");
            }
        }
        Some(Item::Branch(branch)) => {
            let _ = writeln!(text, "map with {} keys", branch.entries.len());
        }
        None => text.push_str("not found\n"),
    }
    text
}

#[test]
fn scripts_match() {
    datadriven::walk("tests/scripts/config", |file| {
        file.run(|case| {
            let folder = folder(&case.input);
            match case.directive.as_str() {
                "check" => check(&folder),
                "merge" => merge(&folder),
                "explain" => explain(&folder, &case.args["path"][0]),
                other => panic!("unknown directive {other}"),
            }
        });
    });
}
