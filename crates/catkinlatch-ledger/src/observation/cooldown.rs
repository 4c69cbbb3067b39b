//! Agreement of senders that a target fails, and its retry.

use super::Observation;
use catkinlatch_base::{HostId, Instant, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Time within which statements of failures support each other.
const AGREEMENT_WINDOW: Duration = Duration::from_secs(4);

/// The smallest share of failed requests with which a statement says that a target fails, and the
/// smallest share of senders that say so. Senders count, not requests, so that one whose reports are
/// false or whose own network is bad does not exclude a target that answers others.
const MIN_FAILURE_SHARE: f64 = 0.25;

/// Time until the first retry; it doubles with each further cooldown.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest time until a retry.
const MAX_PAUSE: Duration = Duration::from_millis(8_000);

/// Time after the end of a cooldown after which the next one is short again.
const FORGIVE_AFTER: Duration = Duration::from_secs(30);

/// How long the sender that retries a target has until another one may.
const RETRY_TIME: Duration = Duration::from_millis(3_000);

/// How long a cooldown lasts after its pause if no sender asks to retry the target.
const UNASKED_TIME: Duration = Duration::from_millis(6_000);

/// What changed about the cooldown of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target went into cooldown.
    Began {
        /// The target.
        target: TargetId,
        /// Number of senders that stated failures.
        senders: usize,
        /// Time until it is retried.
        pause: Duration,
    },
    /// A retry failed.
    Continued {
        /// The target.
        target: TargetId,
        /// Time until it is retried again.
        pause: Duration,
    },
    /// The target came out of cooldown.
    Ended {
        /// The target.
        target: TargetId,
        /// Whether a retry was answered; else no sender asked for one.
        was_retried: bool,
    },
}

/// Whether a target gets requests.
#[derive(Clone, Debug, Default)]
enum Phase {
    #[default]
    Normal,
    /// Nobody sends it anything.
    Pausing { until: Instant },
    /// One sender at a time may retry it; holds the one that does, and until when.
    Open { since: Instant, retry: Option<(HostId, Instant)> },
}

/// The latest statement of a sender.
#[derive(Clone, Copy, Debug)]
struct Statement {
    at: Instant,
    is_failing: bool,
    /// When the sender stated failures before that.
    failed_before: Option<Instant>,
}

/// What senders stated about one start of a target, and its cooldown.
#[derive(Clone, Debug, Default)]
pub struct Case {
    statements: BTreeMap<HostId, Statement>,
    phase: Phase,
    cooldowns: u32,
    ended_at: Instant,
}

impl Case {
    /// Records what a sender states in one report. `may_begin` tells whether another target may go
    /// into cooldown.
    pub fn record(
        &mut self,
        sender: &HostId,
        observation: &Observation,
        may_begin: bool,
        now: Instant,
    ) -> Option<Change> {
        let failures = f64::from(observation.failures) + f64::from(observation.silences);
        let answers = f64::from(observation.answers);
        if failures + answers == 0.0 {
            return None;
        }
        let is_failing = failures / (failures + answers) >= MIN_FAILURE_SHARE;
        let target = observation.target.clone();
        match &self.phase {
            Phase::Normal => {
                self.add_statement(sender, is_failing, now);
                (may_begin && is_failing && self.is_agreed()).then(|| {
                    let senders = self.failing().count();
                    Change::Began { target, senders, pause: self.pause(now) }
                })
            }
            Phase::Open { retry: Some((holder, _)), .. } if holder == sender => {
                if is_failing {
                    return Some(Change::Continued { target, pause: self.pause(now) });
                }
                self.end(now);
                Some(Change::Ended { target, was_retried: true })
            }
            Phase::Pausing { .. } | Phase::Open { .. } => None,
        }
    }

    fn add_statement(&mut self, sender: &HostId, is_failing: bool, now: Instant) {
        self.statements.retain(|_, statement| now < statement.at + AGREEMENT_WINDOW);
        let last = self.statements.get(sender);
        let failed_before =
            last.and_then(|last| if last.is_failing { Some(last.at) } else { last.failed_before });
        let failed_before = failed_before.filter(|at| now < *at + AGREEMENT_WINDOW);
        let statement = Statement { at: now, is_failing, failed_before };
        self.statements.insert(sender.clone(), statement);
    }

    /// Advances the cooldown with time.
    pub fn advance(&mut self, target: &TargetId, now: Instant) -> Option<Change> {
        match &self.phase {
            Phase::Pausing { until } if now >= *until => {
                self.phase = Phase::Open { since: now, retry: None };
                None
            }
            Phase::Open { since, retry }
                if now >= retry.as_ref().map_or(*since, |(_, until)| *until) + UNASKED_TIME =>
            {
                self.end(now);
                Some(Change::Ended { target: target.clone(), was_retried: false })
            }
            Phase::Normal | Phase::Pausing { .. } | Phase::Open { .. } => None,
        }
    }

    /// Allows a sender to retry the target, unless another one does; returns whether it may.
    pub fn grant_retry(&mut self, sender: &HostId, now: Instant) -> bool {
        match &mut self.phase {
            Phase::Open { retry, .. } => {
                let is_free = retry.as_ref().is_none_or(|(_, until)| now >= *until);
                if is_free {
                    *retry = Some((sender.clone(), now + RETRY_TIME));
                }
                is_free
            }
            Phase::Normal | Phase::Pausing { .. } => false,
        }
    }

    /// Returns whether enough senders agree that the target fails.
    fn is_agreed(&self) -> bool {
        let share = self.failing().count() as f64 / self.statements.len() as f64;
        self.is_supported() && share >= MIN_FAILURE_SHARE
    }

    /// Returns whether two senders, or one sender twice, said of late that the target fails.
    pub fn is_supported(&self) -> bool {
        let twice = |statement: &Statement| statement.failed_before.is_some();
        self.failing().count() >= 2 || self.failing().any(twice)
    }

    fn failing(&self) -> impl Iterator<Item = &Statement> {
        self.statements.values().filter(|statement| statement.is_failing)
    }

    /// Returns whether the target is in cooldown.
    pub fn is_in_cooldown(&self) -> bool {
        !matches!(self.phase, Phase::Normal)
    }

    /// Returns whether the target is in cooldown and a sender may ask to retry it.
    pub fn is_open(&self, now: Instant) -> bool {
        match &self.phase {
            Phase::Open { retry, .. } => retry.as_ref().is_none_or(|(_, until)| now >= *until),
            Phase::Normal | Phase::Pausing { .. } => false,
        }
    }

    /// Begins a pause and returns its length.
    fn pause(&mut self, now: Instant) -> Duration {
        if !self.is_in_cooldown() && now >= self.ended_at + FORGIVE_AFTER {
            self.cooldowns = 0;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(self.cooldowns.min(8))).min(MAX_PAUSE);
        self.cooldowns += 1;
        self.phase = Phase::Pausing { until: now + pause };
        pause
    }

    fn end(&mut self, now: Instant) {
        let (cooldowns, ended_at) = (self.cooldowns, now);
        *self = Self { cooldowns, ended_at, ..Self::default() };
    }
}
