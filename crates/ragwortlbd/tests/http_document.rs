//! The committed OpenAPI document equals the one generated from the code. `REWRITE=1`
//! writes it.

use std::fs;

use ragwortlbd::operators;

#[test]
fn document_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/openapi.json");
    let made = operators::openapi().unwrap();
    if std::env::var_os("REWRITE").is_some() {
        fs::write(path, &made).unwrap();
    }
    assert_eq!(fs::read_to_string(path).unwrap(), made);
}
