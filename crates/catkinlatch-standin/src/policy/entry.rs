//! Measures admission: shares of contended capacity, useful work under overload, and retries.

mod figures;
mod run;

pub use self::{
    figures::Figures,
    run::{Case, Queueing, run},
};

use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio};
use catkinlatch_route::retry::{Budget, Effect, Plan, Step};
use std::{fmt::Write, time::Duration};

/// One try of a request.
struct Try {
    first: bool,
    plan: Plan,
}

/// Measures every case and returns the tables as text.
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "One team offers ten times its share, the others 0.9 of theirs");
    for (spread, one_node) in [("spread over 6 nodes", false), ("large team on one node", true)] {
        for queueing in [Queueing::Fifo, Queueing::Fair] {
            let case = Case { load: 0.9, greedy: 10.0, one_node, queueing };
            let _ = writeln!(text, "  {spread:<24}{:<6}{}", queueing.to_string(), run(&case, seed));
        }
    }
    let _ = writeln!(text, "All teams offer alike, refused callers come back");
    for load in [0.5, 1.0, 2.0, 5.0] {
        for queueing in [Queueing::Fifo, Queueing::Fair] {
            let case = Case { load, greedy: 1.0, one_node: false, queueing };
            let _ = writeln!(
                text,
                "  {load:<4} of capacity        {:<6}{}",
                queueing.to_string(),
                run(&case, seed)
            );
        }
    }
    let _ = writeln!(text, "Retries for each first try in a full outage: {:.3}", outage(seed));
    text
}

/// Returns the retries for each first try while every try fails for 60 s of 100 requests a second.
fn outage(seed: u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut clock: Clock<Try> = Clock::new();
    let mut budget = Budget::new(Ratio::new(0.2), Instant::ZERO);
    let requests = 6_000_u64;
    let mut retries = 0_u32;
    for number in 0..requests {
        let at = Instant::from_millis(number * 10);
        let plan = Plan::new(true, at + Duration::from_secs(60));
        clock.at(at, Try { first: true, plan });
    }
    while let Some(Try { first, mut plan }) = clock.next() {
        let now = clock.now();
        if first {
            budget.earn(now);
        }
        if let Step::Retry(pause) =
            plan.after_failure(Effect::MayHaveRun, &mut budget, now, &mut random)
        {
            retries += 1;
            clock.after(pause, Try { first: false, plan });
        }
    }
    f64::from(retries) / requests as f64
}
