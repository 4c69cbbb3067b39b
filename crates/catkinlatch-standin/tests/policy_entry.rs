//! Checks the fairness objective of admission on simulated time.

use catkinlatch_standin::policy::entry::{Case, Queueing, run};
use test_case::test_case;

#[test_case(false; "its callers use all nodes")]
#[test_case(true; "its callers use one node")]
fn one_large_team_leaves_the_others_their_share(one_node: bool) {
    let case = Case { load: 0.9, large_team_load: 10.0, one_node, queueing: Queueing::Fair };
    let metrics = run(&case, 5);
    assert!(metrics.worst_share >= 0.95, "{metrics}");
    assert_eq!(metrics, run(&case, 5), "equal seeds give equal figures");
}
