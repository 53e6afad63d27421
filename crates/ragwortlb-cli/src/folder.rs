//! Reads a configuration folder from disk.

use std::{fs, path::Path};

use eyre::{Result, WrapErr, eyre};
use ragwortlb::config::{File, Folder};

/// Reads the documents of a folder. Other files are ignored with a message on stderr.
pub fn read(dir: &Path) -> Result<Folder> {
    let entries = fs::read_dir(dir).wrap_err_with(|| format!("cannot read folder {}", dir.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry.wrap_err_with(|| format!("cannot read folder {}", dir.display()))?;
        let name = entry.file_name();
        let Some(name) = name.to_str().filter(|name| File::is_document_name(name)) else {
            eprintln!("{}: ignored, its name does not match *.jsonc", name.to_string_lossy());
            continue;
        };
        let path = entry.path();
        if path.is_dir() {
            return Err(eyre!("{} is a directory, not a document", path.display()));
        }
        let bytes = fs::read(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
        files.push(File::new(name, bytes));
    }
    Ok(Folder::new(files))
}
