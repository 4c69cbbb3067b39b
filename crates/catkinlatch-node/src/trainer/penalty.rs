//! Penalizes engines whose reports do not prove which weights generated a sample.

use crate::Node;
use catkinlatch_base::BootId;
use catkinlatch_route::Key;
use std::{sync::Arc, time::Duration};

/// How long a penalized engine counts as fully loaded.
const PENALTY: Duration = Duration::from_secs(10);

/// Counts an engine as fully loaded for the duration of the penalty.
///
/// An engine that responds at once with unusable reports would otherwise be the least loaded one
/// and receive every retry of the samples that it spoiled. A penalized engine still serves requests
/// where no other engine does.
pub async fn penalize(node: Arc<Node>, boot: Option<BootId>) {
    let Some((key, slots)) = boot.and_then(|boot| find(&node, &boot)) else { return };
    (0..slots).for_each(|_| node.table().begin(key));
    tokio::time::sleep(PENALTY).await;
    (0..slots).for_each(|_| node.table().end(key));
}

fn find(node: &Node, boot: &BootId) -> Option<(Key, u32)> {
    let table = node.table();
    let (key, entry) = table.entries().find(|(_, entry)| entry.announcement.boot == *boot)?;
    Some((key, entry.announcement.slots))
}
