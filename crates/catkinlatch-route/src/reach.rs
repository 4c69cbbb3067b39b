//! Whether a host reaches targets by itself, and whether it should send to them through others.
//!
//! A host that reaches no target cannot tell by itself whether it is cut off or the targets are
//! gone. It checks both when something fails: whether any target can be reached directly, and if
//! none can, whether another host of the system reaches one.

mod helper;

pub use self::helper::{Helper, Helpers, Setback};

use catkinlatch_base::Instant;
use derive_more::Display;
use std::{collections::BTreeSet, mem, time::Duration};

/// How long an answer of a target shows that this host reaches targets.
const CONTACT_TTL: Duration = Duration::from_millis(300);

/// Number of targets, one after the other, to which no connection could be opened, after which
/// answers on connections that are already open no longer show that new ones can be opened.
const MAX_MISSES: usize = 2;

/// How long a relayed connection shows that other hosts reach targets.
const RELAY_TTL: Duration = Duration::from_millis(1_000);

/// Shortest time between two checks while targets are reached.
const CHECK_PAUSE: Duration = Duration::from_millis(1_000);

/// Interval between checks while this host is cut off or returns.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of checks in a row that must reach a target until all connections are opened directly
/// again. The share doubles with each.
const RETURN_CHECKS: u32 = 3;

/// How to open a connection to a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Path {
    /// From this host.
    #[display("direct")]
    Direct,
    /// Through another host of the system.
    #[display("relayed")]
    Relayed,
    /// Not at all: neither this host nor another one reached a target a moment ago.
    #[display("none")]
    Closed,
}

/// What a check has found.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Finding {
    /// This host reached a target.
    #[display("targets are reached")]
    Reached,
    /// This host reached no target, but another host did.
    #[display("only other hosts reach targets")]
    CutOff,
    /// Neither this host nor another one reached a target.
    #[display("no host reaches targets")]
    Unreached,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Direct,
    CutOff,
    /// Cut off until a moment ago; holds the number of checks since then.
    Returning(u32),
    Unreached,
}

/// What a host knows about its own paths to targets.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    state: State,
    /// The target that answered last on a direct connection, or to which one was opened, and when.
    contact: Option<(String, Instant)>,
    /// The same for the last one of another target.
    other_contact: Option<(String, Instant)>,
    /// The targets to which no direct connection could be opened since one was opened last.
    missed: BTreeSet<String>,
    is_checking: bool,
    /// When the last check began and what it found.
    checked: Option<(Instant, Finding)>,
    /// When another host last opened a connection to a target for this one.
    relayed: Option<Instant>,
    cuts: u64,
}

impl Reach {
    /// Records that a direct connection to the target at `address` was opened.
    pub fn record_open(&mut self, address: &str, now: Instant) {
        self.missed.clear();
        self.record_answer(address, now);
    }

    /// Records that the target at `address` sent something on a direct connection.
    pub fn record_answer(&mut self, address: &str, now: Instant) {
        match &mut self.contact {
            Some((last, at)) if last == address => *at = now,
            contact => {
                self.other_contact = contact.replace((address.to_owned(), now));
            }
        }
    }

    /// Records that no direct connection to the target at `address` could be opened.
    pub fn record_miss(&mut self, address: &str) {
        if self.missed.len() < MAX_MISSES {
            self.missed.insert(address.to_owned());
        }
    }

    /// Returns whether a check is due after no direct connection to the target at `address` could be
    /// opened.
    ///
    /// One target that refuses connections is no reason to doubt the path while others answer.
    pub fn is_miss_in_doubt(&self, address: &str, now: Instant) -> bool {
        let contacts = [&self.contact, &self.other_contact].into_iter().flatten();
        let mut others = contacts.filter(|(other, _)| other != address);
        let is_fresh = others.any(|(_, at)| now < *at + CONTACT_TTL);
        (!is_fresh || self.missed.len() >= MAX_MISSES) && self.may_check(now)
    }

    /// Returns whether a check is due because a request has had no answer since `since`: no other
    /// target has answered since then either.
    pub fn is_silence_in_doubt(&self, since: Instant, now: Instant) -> bool {
        self.last_contact() <= Some(since) && self.may_check(now)
    }

    fn last_contact(&self) -> Option<Instant> {
        self.contact.as_ref().map(|(_, at)| *at)
    }

    fn may_check(&self, now: Instant) -> bool {
        let is_due = self.checked.is_none_or(|(began, _)| now >= began + CHECK_PAUSE);
        self.state == State::Direct && is_due
    }

    /// Begins a check; returns false if one is in progress, or follows by itself since no target was
    /// reached a moment ago.
    pub fn begin_check(&mut self) -> bool {
        self.state == State::Direct && !mem::replace(&mut self.is_checking, true)
    }

    /// Begins the next check in a series that lasts until targets are reached.
    pub fn continue_check(&mut self) {
        self.is_checking = true;
    }

    /// Records that another host opened a connection to a target for this one.
    pub fn record_relayed(&mut self, now: Instant) {
        self.relayed = Some(now);
    }

    /// Returns whether it is known, without another connection, that other hosts reach targets.
    pub fn is_relay_confirmed(&self, now: Instant) -> bool {
        self.relayed.is_some_and(|relayed| now < relayed + RELAY_TTL)
    }

    /// Returns whether a connection should wait for the end of the check in progress.
    pub fn is_unsettled(&self) -> bool {
        self.is_checking && self.state == State::Direct
    }

    /// Returns whether this host reached no target when it checked last.
    pub fn is_cut_off(&self) -> bool {
        matches!(self.state, State::CutOff | State::Unreached)
    }

    /// Ends the check that began at `began`; returns whether the way of opening connections changed.
    pub fn end_check(&mut self, began: Instant, finding: Finding) -> bool {
        (self.is_checking, self.checked) = (false, Some((began, finding)));
        if finding == Finding::Reached {
            self.missed.clear();
        }
        let next = match (finding, self.state) {
            (Finding::Reached, State::Direct | State::Unreached) => State::Direct,
            (Finding::Reached, State::CutOff) => State::Returning(1),
            (Finding::Reached, State::Returning(checks)) if checks + 1 < RETURN_CHECKS => {
                State::Returning(checks + 1)
            }
            (Finding::Reached, State::Returning(_)) => State::Direct,
            (Finding::CutOff, _) => State::CutOff,
            (Finding::Unreached, _) => State::Unreached,
        };
        let was_cut_off = self.is_cut_off();
        let has_changed = next != mem::replace(&mut self.state, next);
        self.cuts += u64::from(!was_cut_off && self.is_cut_off());
        has_changed
    }

    /// Returns how often this host has been cut off.
    pub fn cuts(&self) -> u64 {
        self.cuts
    }

    /// Returns what the last check found.
    pub fn finding(&self) -> Option<Finding> {
        self.checked.map(|(_, finding)| finding)
    }

    /// Returns the time until the next check that needs no reason: none while targets are reached.
    pub fn next_check(&self) -> Option<Duration> {
        (self.state != State::Direct).then_some(CHECK_INTERVAL)
    }

    /// Returns how to open the next connection; `random` is between 0 and 1.
    pub fn path(&self, random: f64) -> Path {
        match self.state {
            State::Direct => Path::Direct,
            State::CutOff => Path::Relayed,
            State::Returning(checks) => {
                let share = 0.5_f64.powi((RETURN_CHECKS - checks) as i32);
                if random < share { Path::Direct } else { Path::Relayed }
            }
            State::Unreached => Path::Closed,
        }
    }

    /// Returns whether this host is cut off and no target has answered on a connection that was
    /// opened before.
    pub fn is_silent(&self) -> bool {
        let began = self.checked.map(|(began, _)| began);
        self.is_cut_off() && self.last_contact() <= began
    }

    /// Returns whether this host opens connections to targets directly, so that a connection that
    /// cannot be opened shows that its target failed.
    pub fn is_direct(&self) -> bool {
        self.state == State::Direct && !self.is_checking
    }
}
