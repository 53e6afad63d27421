//! Folders of documents: merging, origins of values, and all error messages.

use std::fmt::Write as _;

use ragwortlb::config::{Diagnostics, File, Folder, Severity, merge::Item};

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

/// All findings of a review. Guards against warnings that make a folder invalid or
/// change its configuration, and against errors that `check` does not report.
fn review(folder: &Folder) -> String {
    let review = folder.review();
    let errors = review.findings.0.iter().filter(|finding| finding.severity() == Severity::Error);
    let errors = Diagnostics(errors.cloned().collect());
    match folder.check() {
        Ok(config) => assert_eq!((review.config, errors.0.len()), (Some(config), 0)),
        Err(expected) => assert_eq!((review.config, errors), (None, expected)),
    }
    let mut text = String::new();
    for finding in &review.findings.0 {
        let _ = writeln!(text, "{finding} [{}]", finding.kind.name());
    }
    if text.is_empty() { "clean\n".to_owned() } else { text }
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
                "review" => review(&folder),
                "merge" => merge(&folder),
                "explain" => explain(&folder, &case.args["path"][0]),
                other => panic!("unknown directive {other}"),
            }
        });
    });
}
