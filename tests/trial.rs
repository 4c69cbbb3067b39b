//! Runs the trial behind `catkinlatch try`.

use catkinlatch_standin::trial;

#[tokio::test(flavor = "multi_thread")]
async fn every_check_holds() {
    let checks = trial::run().await.expect("the trial runs to its end");
    assert!(checks.all_held(), "{checks}");
}
