//! Answers to changes, kept so that a resend gets its first answer again.

use super::{Change, Reply};
use catkinlatch_base::{RequestId, derive_value};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};

/// How many answered changes are kept.
pub const WINDOW: usize = 1_024;

derive_value! {
    /// The answers to the newest [`WINDOW`] changes, found by request id.
    #[derive(Default)]
    pub struct Answers {
        order: VecDeque<RequestId>,
        kept: BTreeMap<RequestId, Answer>,
    }
}

derive_value! {
    /// A change that was answered; of its content only the digest is kept.
    struct Answer {
        digest: [u8; 32],
        reply: Reply,
    }
}

impl Answers {
    /// Returns the answer to an earlier change with the same request id.
    pub fn earlier(&self, change: &Change) -> Option<Reply> {
        let answer = self.kept.get(&change.request)?;
        if answer.digest == digest(change) {
            return Some(answer.reply.clone());
        }
        Some(Reply::RequestReused { request: change.request.clone() })
    }

    /// Keeps an answer and forgets the oldest beyond the window.
    pub fn keep(&mut self, change: &Change, reply: Reply) {
        let answer = Answer { digest: digest(change), reply };
        self.kept.insert(change.request.clone(), answer);
        self.order.push_back(change.request.clone());
        if self.order.len() > WINDOW
            && let Some(oldest) = self.order.pop_front()
        {
            self.kept.remove(&oldest);
        }
    }
}

fn digest(change: &Change) -> [u8; 32] {
    let content = serde_json::to_vec(change).expect("a change serializes");
    Sha256::digest(content).into()
}
