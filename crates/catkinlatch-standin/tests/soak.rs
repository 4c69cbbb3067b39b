//! A deployment under random failures, among them cuts between hosts and targets.

use catkinlatch_standin::site::Soak;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_failures_and_cuts_violate_no_invariant() {
    let folder = tempfile::tempdir().unwrap();
    let soak = Soak {
        program: env!("CARGO_BIN_EXE_cut_host").into(),
        folder: folder.path().into(),
        duration: Duration::from_secs(25),
        seed: 602,
        has_cuts: true,
    };
    let report = soak.run().await.unwrap();
    assert!(report.violations.is_empty(), "{report}\n{:#?}", report.faults);
    let is_compared = |fault: &String| fault.starts_with("cut off") && fault.contains(" served,");
    assert!(report.faults.iter().any(is_compared), "{:#?}", report.faults);
}
