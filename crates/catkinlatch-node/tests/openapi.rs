//! Checks that the committed OpenAPI documents match the code.

use catkinlatch_node::openapi;
use std::{fs, path::Path};

#[test]
fn committed_documents_are_those_of_the_code() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi");
    for document in openapi::documents().expect("the interfaces are described") {
        let committed = fs::read_to_string(folder.join(&document.name)).unwrap_or_default();
        assert!(
            committed == document.text,
            "docs/openapi/{} is old; run `cargo run -p catkinlatch-node --example openapi`",
            document.name
        );
    }
}
