//! Operators that race, repeat and send invalid configurations.

use super::{
    document::{self, FAULTS},
    observer::Run,
};
use http::Method;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time;

/// Added to the version of an invalid configuration, so that it would win if it were accepted.
const INVALID_LEAD: u64 = 1_000_000;

/// Sends configurations until the run is over.
pub async fn change(run: Arc<Run>, operator: usize, mut random: fastrand::Rng) {
    let stores = run.addresses.controls.len();
    // Earlier builds accept the last fault, after which nothing else can be observed.
    let is_old = std::env::var_os("CONFIRMED_OLD").is_some();
    let faults = &FAULTS[..FAULTS.len() - usize::from(is_old)];
    while !run.is_over() {
        let store = random.usize(..stores);
        match random.u8(..10) {
            0..5 => {
                let version = run.proposed.fetch_add(1, Ordering::Relaxed) + 1;
                let body = document::valid(version, operator);
                if run.addresses.put(&run.record, store, version, &body).await.is_none() {
                    run.record.violation(format!("version {version} was not acknowledged"));
                }
            }
            5 => {
                // Another operator may be sending other content under the same version.
                let version = run.proposed.load(Ordering::Relaxed);
                let body = document::valid(version, operator);
                run.addresses.put(&run.record, store, version, &body).await;
            }
            6 => {
                let version = run.record.newest().unwrap_or(1).saturating_sub(1).max(1);
                let body = document::valid(version, operator);
                run.addresses.control(store, Method::PUT, &body).await;
                run.record.count("older versions");
            }
            _ => {
                let version = run.proposed.load(Ordering::Relaxed) + INVALID_LEAD;
                let fault = faults[random.usize(..faults.len())];
                let body = document::invalid(version, fault, &mut random);
                run.invalid.fetch_max(version, Ordering::Relaxed);
                let answer = run.addresses.control(store, Method::PUT, &body).await;
                run.record.count("invalid");
                if answer.is_some_and(|answer| answer.status().is_success()) {
                    run.record.violation(format!("{fault:?} was acknowledged"));
                }
            }
        }
        time::sleep(Duration::from_millis(random.u64(20..400))).await;
    }
}
