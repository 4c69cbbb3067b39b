//! Simulates admission: shares of contended capacity, goodput under overload, and retries.

mod metrics;
mod run;

pub use self::{
    metrics::Metrics,
    run::{Case, Queueing, run},
};

use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio};
use catkinlatch_route::retry::{Budget, Effect, Plan, Step};
use std::{fmt::Write, time::Duration};

/// One attempt of a request.
struct Attempt {
    is_first: bool,
    plan: Plan,
}

/// Simulates every case and returns the results as text.
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "One team offers 10 times its share, the others 0.9 times theirs");
    for (spread, one_node) in [("spread over 6 nodes", false), ("large team on one node", true)] {
        for queueing in [Queueing::Fifo, Queueing::Fair] {
            let case = Case { load: 0.9, large_team_load: 10.0, one_node, queueing };
            let _ = writeln!(text, "  {spread:<24}{:<6}{}", queueing.to_string(), run(&case, seed));
        }
    }
    let _ = writeln!(text, "All teams offer the same load, refused callers retry");
    for load in [0.5, 1.0, 2.0, 5.0] {
        for queueing in [Queueing::Fifo, Queueing::Fair] {
            let case = Case { load, large_team_load: 1.0, one_node: false, queueing };
            let _ = writeln!(
                text,
                "  {load:<4} of capacity        {:<6}{}",
                queueing.to_string(),
                run(&case, seed)
            );
        }
    }
    let _ = writeln!(text, "Retries per first attempt in a full outage: {:.3}", outage(seed));
    text
}

/// Returns the mean number of retries per request if every attempt fails, at 100 requests per
/// second for 60 s.
fn outage(seed: u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut clock: Clock<Attempt> = Clock::new();
    let mut budget = Budget::new(Ratio::new(0.2), Instant::ZERO);
    let requests = 6_000_u64;
    let mut retries = 0_u32;
    for number in 0..requests {
        let at = Instant::from_millis(number * 10);
        let plan = Plan::new(true, at + Duration::from_secs(60));
        clock.schedule_at(at, Attempt { is_first: true, plan });
    }
    while let Some(Attempt { is_first, mut plan }) = clock.next() {
        let now = clock.now();
        if is_first {
            budget.earn(now);
        }
        if let Step::Retry(pause) =
            plan.after_failure(Effect::MayHaveRun, &mut budget, now, &mut random)
        {
            retries += 1;
            clock.schedule_after(pause, Attempt { is_first: false, plan });
        }
    }
    f64::from(retries) / requests as f64
}
