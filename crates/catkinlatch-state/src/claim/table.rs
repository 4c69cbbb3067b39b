//! The table of all claims.

use super::{
    Answer, Change, Claim, Key, MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_TOTAL_ANSWER_BYTES,
    OVERDUE_GRACE_MS, Owner, RETENTION_MS, Reply, Stage,
};
use catkinlatch_base::{Incarnation, derive_value, invariant};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

derive_value! {
    /// The table of all claims: at most [`MAX_CLAIMS`], with at most [`MAX_TOTAL_ANSWER_BYTES`] of
    /// answers.
    ///
    /// A claim is removed only when it is released before its request was sent, or when
    /// [`RETENTION_MS`] have passed since it was opened and it is no longer running. From then on,
    /// requests that were first sent no later than the youngest expired claim was opened are
    /// refused.
    ///
    /// ```
    /// use catkinlatch_base::Incarnation;
    /// use catkinlatch_state::claim::{Change, Claim, Claims, Key, Owner, Reply, Stage};
    ///
    /// let mut claims = Claims::default();
    /// let name = Key { team: "harbour".parse().expect("valid"), key: "claim-7".to_owned() };
    /// let owner = Owner { node: Incarnation::new(1), attempt: 1 };
    /// let (digest, stage) = ([0; 32], Stage::Running);
    /// let claim = Claim { digest, owner, opened_ms: 1_000, deadline_ms: 61_000, stage };
    /// let open = Change::Open { name, claim: claim.clone(), sent_ms: 1_000 };
    /// assert_eq!(claims.apply(&open), Reply::Opened);
    /// ```
    #[derive(Default)]
    pub struct Claims {
        claims: BTreeMap<Key, Claim>,
        by_age: BTreeSet<(u64, Key)>,
        running: BTreeSet<(u64, Key)>,
        answered: VecDeque<Key>,
        answer_bytes: usize,
        expired_through_ms: u64,
    }
}

impl Claims {
    /// Returns the claim with the key `name`.
    pub fn get(&self, name: &Key) -> Option<&Claim> {
        self.claims.get(name)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the total size of the retained answer bodies, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns whether [`Change::Expire`] may change anything.
    pub fn has_due(&self, now_ms: u64) -> bool {
        let overdue = self.running.first().is_some_and(|(at, _)| at + OVERDUE_GRACE_MS <= now_ms);
        overdue || self.by_age.first().is_some_and(|(at, _)| at + RETENTION_MS <= now_ms)
    }

    /// Applies a change and returns its result.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Open { name, claim, sent_ms } => self.open(name, claim, *sent_ms),
            Change::Finish { name, owner, stage } => self.finish(name, *owner, stage),
            Change::Release { name, owner } => self.release(name, *owner),
            Change::Orphan { node } => self.orphan(*node),
            Change::Expire { now_ms } => self.expire(*now_ms),
        }
    }

    fn open(&mut self, name: &Key, claim: &Claim, sent_ms: u64) -> Reply {
        if let Some(earlier) = self.claims.get(name) {
            return match earlier.owner == claim.owner && earlier.stage == Stage::Running {
                true => Reply::Opened,
                false => Reply::Exists(earlier.clone()),
            };
        }
        if sent_ms <= self.expired_through_ms {
            return Reply::Expired;
        }
        if self.claims.len() >= MAX_CLAIMS {
            return Reply::Full;
        }
        self.by_age.insert((claim.opened_ms, name.clone()));
        self.running.insert((claim.deadline_ms, name.clone()));
        self.claims.insert(name.clone(), Claim { stage: Stage::Running, ..claim.clone() });
        Reply::Opened
    }

    /// Records how a request ended; its owner may also replace [`Stage::Unknown`].
    fn finish(&mut self, name: &Key, owner: Owner, stage: &Stage) -> Reply {
        let Some(claim) = self.claims.get_mut(name).filter(|claim| claim.owner == owner) else {
            return Reply::NotOwner;
        };
        if matches!(claim.stage, Stage::Answered(_) | Stage::Dropped) {
            return Reply::Done;
        }
        self.running.remove(&(claim.deadline_ms, name.clone()));
        claim.stage = match stage {
            Stage::Answered(answer) if answer.body.len() > MAX_ANSWER_BYTES => Stage::Dropped,
            Stage::Answered(answer) => {
                self.answered.push_back(name.clone());
                self.answer_bytes += answer.body.len();
                stage.clone()
            }
            Stage::Running => Stage::Unknown,
            Stage::Dropped | Stage::Unknown => stage.clone(),
        };
        self.evict_answers();
        Reply::Done
    }

    /// Drops the oldest answers beyond [`MAX_TOTAL_ANSWER_BYTES`] and keeps their claims.
    fn evict_answers(&mut self) {
        while self.answer_bytes > MAX_TOTAL_ANSWER_BYTES {
            let Some(name) = self.answered.pop_front() else { break };
            let Some(claim) = self.claims.get_mut(&name) else { continue };
            let Stage::Answered(Answer { body, .. }) = &claim.stage else { continue };
            self.answer_bytes -= body.len();
            claim.stage = Stage::Dropped;
        }
        invariant!(
            "kept answers are bounded",
            self.answer_bytes <= MAX_TOTAL_ANSWER_BYTES,
            "{} bytes are retained",
            self.answer_bytes
        );
    }

    fn release(&mut self, name: &Key, owner: Owner) -> Reply {
        match self.claims.get(name) {
            Some(claim) if claim.owner == owner && claim.stage == Stage::Running => {
                self.remove(&name.clone());
                Reply::Done
            }
            Some(_) | None => Reply::NotOwner,
        }
    }

    fn orphan(&mut self, node: Incarnation) -> Reply {
        let claims = &mut self.claims;
        self.running.retain(|(_, name)| {
            let Some(claim) = claims.get_mut(name) else { return false };
            if claim.owner.node == node {
                claim.stage = Stage::Unknown;
            }
            claim.owner.node != node
        });
        Reply::Done
    }

    fn expire(&mut self, now_ms: u64) -> Reply {
        while let Some((deadline_ms, name)) = self.running.first().cloned() {
            if deadline_ms + OVERDUE_GRACE_MS > now_ms {
                break;
            }
            self.running.pop_first();
            if let Some(claim) = self.claims.get_mut(&name) {
                claim.stage = Stage::Unknown;
            }
        }
        let old: Vec<(u64, Key)> = self
            .by_age
            .iter()
            .take_while(|(opened_ms, _)| opened_ms + RETENTION_MS <= now_ms)
            .filter(|(_, name)| self.claims.get(name).is_some_and(|c| c.stage != Stage::Running))
            .cloned()
            .collect();
        for (opened_ms, name) in old {
            self.expired_through_ms = self.expired_through_ms.max(opened_ms);
            self.remove(&name);
        }
        Reply::Done
    }

    fn remove(&mut self, name: &Key) {
        let Some(claim) = self.claims.remove(name) else { return };
        self.by_age.remove(&(claim.opened_ms, name.clone()));
        self.running.remove(&(claim.deadline_ms, name.clone()));
        if let Stage::Answered(answer) = &claim.stage {
            self.answer_bytes -= answer.body.len();
            self.answered.retain(|answered| answered != name);
        }
    }
}
