//! Reports how many more voters may be lost, since when, and which are silent.

use crate::host::Host;
use catkinlatch_base::Instant;
use catkinlatch_log::Redundancy;
use log::{info, warn};
use std::time::Duration;

/// What follows from a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be reported.
    Nothing,
    /// The redundancy has changed; holds how long the one before lasted.
    Report(Redundancy, Duration),
}

/// The redundancy as last reported.
///
/// A change counts once two checks in a row agree, as a single late confirmation is no loss.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    reported: Option<(Redundancy, Instant)>,
    last: Option<Redundancy>,
}

impl Monitor {
    /// Records a check and returns what is to be reported.
    pub fn check(&mut self, redundancy: Redundancy, now: Instant) -> Step {
        let is_confirmed = self.last.replace(redundancy.clone()) == Some(redundancy.clone());
        let (reported, since) = self.reported.clone().unzip();
        if !is_confirmed || reported.as_ref() == Some(&redundancy) {
            return Step::Nothing;
        }
        self.reported = Some((redundancy.clone(), now));
        Step::Report(redundancy, since.map_or(Duration::ZERO, |since| now - since))
    }
}

/// Checks the redundancy while this host leads.
pub fn report(host: &Host, monitor: &mut Monitor) {
    let Some(redundancy) = host.replica.redundancy() else { return };
    let Step::Report(Redundancy { losses, silent }, before) =
        monitor.check(redundancy, host.clock.now())
    else {
        return;
    };
    metrics::gauge!("catkinlatch_control_bearable_losses").set(losses as f64);
    let silent: Vec<&str> = silent.iter().map(|host| host.as_str()).collect();
    let (silent, before_ms) = (silent.join(","), before.as_millis() as u64);
    if losses < host.settings.losses {
        warn!(
            losses = losses, silent = silent.as_str(), before_ms = before_ms;
            "lead: the voters bear fewer losses than they should"
        );
    } else {
        info!(losses = losses, before_ms = before_ms; "lead: the voters bear the losses they should");
    }
}
