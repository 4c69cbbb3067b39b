//! Replies to recent changes, retained so that a resent change returns its first reply again.

use super::{Change, Reply};
use catkinlatch_base::{RequestId, derive_value};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of replies that are retained; the oldest are dropped first.
pub const MAX_REPLIES: usize = 1_024;

derive_value! {
    /// The replies to the last [`MAX_REPLIES`] changes by request id.
    #[derive(Default)]
    pub struct Replies {
        order: VecDeque<RequestId>,
        recorded: BTreeMap<RequestId, Record>,
    }
}

derive_value! {
    /// The reply to a change, with the digest of the change's content.
    struct Record {
        digest: [u8; 32],
        reply: Reply,
    }
}

impl Replies {
    /// Returns the reply to an earlier change with the same request id.
    ///
    /// Returns [`Reply::RequestReused`] if the earlier change had other content.
    pub fn get(&self, change: &Change) -> Option<Reply> {
        let record = self.recorded.get(&change.request)?;
        if record.digest == digest(change) {
            return Some(record.reply.clone());
        }
        Some(Reply::RequestReused { request: change.request.clone() })
    }

    /// Records a reply and drops the oldest one beyond [`MAX_REPLIES`].
    pub fn record(&mut self, change: &Change, reply: Reply) {
        let record = Record { digest: digest(change), reply };
        self.recorded.insert(change.request.clone(), record);
        self.order.push_back(change.request.clone());
        if self.order.len() > MAX_REPLIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.recorded.remove(&oldest);
        }
    }
}

fn digest(change: &Change) -> [u8; 32] {
    let content = serde_json::to_vec(change).expect("a change serializes");
    Sha256::digest(content).into()
}
