//! OpenAPI documents of the HTTP interfaces.

use crate::node::{StartError, operator_api, public_api};
use catkinlatch_base::derive_value;
use dropshot::ApiDescription;

derive_value! {
    /// The OpenAPI document of one interface.
    pub struct Document {
        /// The file name of the document.
        pub name: String,
        /// The document as JSON.
        pub text: String,
    }
}

/// Returns the documents of the interface for callers, trainers and targets and of that for
/// operators.
///
/// # Errors
///
/// Returns an error if the endpoints of an interface conflict.
pub fn documents() -> Result<Vec<Document>, StartError> {
    Ok(vec![
        document("public.json", "catkinlatch for callers, trainers and targets", &public_api()?),
        document("operator.json", "catkinlatch for operators", &operator_api()?),
    ])
}

fn document<C: dropshot::ServerContext>(
    name: &str,
    title: &str,
    api: &ApiDescription<C>,
) -> Document {
    let version = env!("CARGO_PKG_VERSION").parse().expect("the package has a valid version");
    let json = api.openapi(title, version).json().expect("the interface is described");
    let text = serde_json::to_string_pretty(&json).expect("JSON serializes");
    Document { name: name.to_owned(), text: format!("{text}\n") }
}
