//! Keeps work away from engines whose reports are no evidence.

use crate::Node;
use catkinlatch_base::BootId;
use catkinlatch_route::Key;
use std::{sync::Arc, time::Duration};

/// How long such an engine counts as fully loaded.
const SET_BACK: Duration = Duration::from_secs(10);

/// Counts an engine as fully loaded for a while.
///
/// An engine that answers at once and proves nothing would otherwise be the least loaded one, and
/// get each sample that it spoiled again. It still serves where no other engine does.
pub async fn set_back(node: Arc<Node>, boot: Option<BootId>) {
    let Some((key, slots)) = boot.and_then(|boot| find(&node, &boot)) else { return };
    (0..slots).for_each(|_| node.table().begin(key));
    tokio::time::sleep(SET_BACK).await;
    (0..slots).for_each(|_| node.table().end(key));
}

fn find(node: &Node, boot: &BootId) -> Option<(Key, u32)> {
    let table = node.table();
    let (key, entry) = table.entries().find(|(_, entry)| entry.announcement.boot == *boot)?;
    Some((key, entry.announcement.slots))
}
