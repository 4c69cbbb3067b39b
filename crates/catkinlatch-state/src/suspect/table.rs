//! The table of all suspects.

use super::{Change, Fingerprint, MAX_CRASHES, MAX_SUSPECTS, RETENTION_MS, Reply, Suspect, Trial};
use catkinlatch_base::{BootId, Incarnation, TargetId, derive_value, invariant};
use std::collections::BTreeMap;

derive_value! {
    /// The table of all suspects: at most [`MAX_SUSPECTS`].
    ///
    /// Across all nodes, a suspect has at most one run in flight and a target runs at most one
    /// suspect, so that a crash is attributed to a single suspect.
    ///
    /// ```
    /// use catkinlatch_state::suspect::{Change, Fingerprint, Suspects};
    ///
    /// let mut suspects = Suspects::default();
    /// let fingerprint = Fingerprint::new([7; 16]);
    /// for at_ms in [1, 2] {
    ///     let boot = format!("boot-{at_ms}").parse().expect("the id is valid");
    ///     let fingerprints = vec![fingerprint];
    ///     suspects.apply(&Change::Crashed { fingerprints, boot, at_ms });
    /// }
    /// assert!(suspects.is_refused(&fingerprint));
    /// ```
    #[derive(Default)]
    pub struct Suspects {
        suspects: BTreeMap<Fingerprint, Suspect>,
    }
}

impl Suspects {
    /// Returns the suspect with this fingerprint.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Suspect> {
        self.suspects.get(fingerprint)
    }

    /// Returns whether the request has reached [`MAX_CRASHES`] and is refused on every node.
    pub fn is_refused(&self, fingerprint: &Fingerprint) -> bool {
        self.get(fingerprint).is_some_and(|suspect| suspect.crashes.len() >= MAX_CRASHES)
    }

    /// Returns whether a crash under a request is to be recorded; `ran_alone` if the request ran as
    /// a suspect.
    ///
    /// A crash under a request that ran among others makes it a suspect, and adds nothing to that:
    /// a request that many callers send would be refused for the crashes of another.
    pub fn counts_crash(&self, fingerprint: &Fingerprint, ran_alone: bool) -> bool {
        ran_alone || self.get(fingerprint).is_none_or(|suspect| suspect.crashes.is_empty())
    }

    /// Returns the requests that are refused on every node, with their crashes.
    pub fn refused(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter().filter(|(_, suspect)| suspect.crashes.len() >= MAX_CRASHES)
    }

    /// Returns the targets that are running a suspect.
    pub fn trial_targets(&self, now_ms: u64) -> impl Iterator<Item = &TargetId> {
        let trials = self.suspects.values().filter_map(|suspect| suspect.trial.as_ref());
        trials.filter(move |trial| trial.until_ms > now_ms).map(|trial| &trial.target)
    }

    /// Returns all suspects by fingerprint.
    pub fn list(&self) -> &BTreeMap<Fingerprint, Suspect> {
        &self.suspects
    }

    /// Returns whether a suspect is running on the target.
    pub fn is_trial_target(&self, target: &TargetId, now_ms: u64) -> bool {
        self.trial_targets(now_ms).any(|other| other == target)
    }

    /// Returns whether [`Change::Expire`] would change anything.
    pub fn has_due(&self, now_ms: u64) -> bool {
        self.suspects.values().any(|suspect| suspect.last_ms + RETENTION_MS <= now_ms)
    }

    /// Drops all crashes of a refused request but the last, so that it may run alone once more.
    ///
    /// Only for lists that are not replicated by the log.
    pub fn parole(&mut self, fingerprint: &Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            let surplus = suspect.crashes.len().saturating_sub(1);
            suspect.crashes.drain(..surplus);
        }
    }

    /// Applies a change and returns its result.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Crashed { fingerprints, boot, at_ms } => {
                self.crashed(fingerprints, boot, *at_ms)
            }
            Change::Survived { boot } => self.survived(boot),
            Change::StartTrial { fingerprint, trial, now_ms } => {
                self.start(fingerprint, trial, *now_ms)
            }
            Change::EndTrial { fingerprint, node } => self.end(fingerprint, *node),
            Change::Clear { fingerprint } => {
                self.suspects.remove(fingerprint);
                Reply::Done
            }
            Change::Expire { now_ms } => {
                self.suspects.retain(|_, suspect| suspect.last_ms + RETENTION_MS > *now_ms);
                Reply::Done
            }
        }
    }

    fn crashed(&mut self, fingerprints: &[Fingerprint], boot: &BootId, at_ms: u64) -> Reply {
        for fingerprint in fingerprints {
            self.make_room_for(fingerprint);
            let new = Suspect { crashes: Vec::new(), last_ms: at_ms, trial: None };
            let suspect = self.suspects.entry(*fingerprint).or_insert(new);
            suspect.trial = None;
            if suspect.crashes.contains(boot) || suspect.crashes.len() >= MAX_CRASHES {
                continue;
            }
            suspect.crashes.push(boot.clone());
            suspect.last_ms = at_ms;
        }
        Reply::Done
    }

    /// Retracts the crash of a boot that turned out not to have crashed.
    fn survived(&mut self, boot: &BootId) -> Reply {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crashed| crashed != boot);
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty() || suspect.trial.is_some());
        Reply::Done
    }

    /// Evicts a suspect if the table is full and `fingerprint` is not in it.
    ///
    /// Evicts the suspect with the oldest last crash, refused suspects last.
    fn make_room_for(&mut self, fingerprint: &Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(fingerprint) {
            return;
        }
        let eviction_order =
            |suspect: &Suspect| (suspect.crashes.len() >= MAX_CRASHES, suspect.last_ms);
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| eviction_order(suspect));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }

    fn start(&mut self, fingerprint: &Fingerprint, trial: &Trial, now_ms: u64) -> Reply {
        let target_busy = self.is_trial_target(&trial.target, now_ms);
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return Reply::NotSuspect };
        if suspect.crashes.len() >= MAX_CRASHES {
            return Reply::Refused;
        }
        let suspect_busy = suspect.trial.as_ref().is_some_and(|trial| trial.until_ms > now_ms);
        if suspect_busy || target_busy {
            return Reply::Busy;
        }
        invariant!(
            "a suspect that crashed too many targets never runs",
            suspect.crashes.len() < MAX_CRASHES,
            "{} crashes",
            suspect.crashes.len()
        );
        suspect.trial = Some(trial.clone());
        Reply::Granted
    }

    fn end(&mut self, fingerprint: &Fingerprint, node: Incarnation) -> Reply {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.trial = suspect.trial.take().filter(|trial| trial.node != node);
        }
        Reply::Done
    }
}
