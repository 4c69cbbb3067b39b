//! Runs the checks of `catkinlatch try` and expects all of them to hold.

use catkinlatch_standin::trial;

#[tokio::test(flavor = "multi_thread")]
async fn every_check_holds() {
    let checks = trial::run().await.expect("the trial completes");
    assert!(checks.all_passed(), "{checks}");
}
