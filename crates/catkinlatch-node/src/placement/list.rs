//! Asks the platform which targets run.

use crate::{Node, upstream};
use catkinlatch_fleet::placement::Listed;
use http::Request;
use http_body_util::Full;
use std::time::Duration;
use tokio::time;

/// How long the platform has to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The longest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Returns the targets that the platform lists, if it answers.
pub async fn list(node: &Node) -> Option<Vec<Listed>> {
    let uri = upstream::uri(node.settings.platform.as_ref()?, "/v1/targets")?;
    let request = Request::get(uri).body(Full::default()).expect("the parts are valid");
    let asked = time::timeout(TIMEOUT, node.upstream.call(request, MAX_LIST_BYTES)).await;
    let answer = asked.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    serde_json::from_slice(answer.body()).ok()
}
