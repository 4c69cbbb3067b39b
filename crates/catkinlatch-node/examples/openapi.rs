//! Writes the OpenAPI documents into a folder, `docs/openapi` by default.

use catkinlatch_node::openapi;
use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let folder = env::args_os().nth(1).map_or_else(|| PathBuf::from("docs/openapi"), PathBuf::from);
    fs::create_dir_all(&folder)?;
    for document in openapi::documents()? {
        fs::write(folder.join(document.name), document.text)?;
    }
    Ok(())
}
