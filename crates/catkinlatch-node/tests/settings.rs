//! Settings of a node.

use catkinlatch_node::Settings;

fn loopback() -> Settings {
    Settings::loopback(
        "host-1".parse().expect("the id is valid"),
        "zone-a".parse().expect("the id is valid"),
    )
}

#[test]
fn agreement_names_the_settings_that_differ() {
    let one = loopback();
    let two = Settings { beat_ms: 100, lease_ms: 900, ..loopback() };
    let names = one.agreement().differences(&two.agreement());
    assert_eq!(names, ["beat_ms", "lease_ms"]);
}

#[test]
fn agreement_ignores_what_may_differ_between_hosts() {
    let one = loopback();
    let two = Settings {
        host: "host-2".parse().expect("the id is valid"),
        timeline_events: 7,
        ..loopback()
    };
    assert_eq!(one.agreement(), two.agreement());
}

#[test]
fn credentials_are_not_printed() {
    let settings = loopback().with_target_credential("hidden".to_owned());
    assert!(!format!("{settings:?}").contains("hidden"));
}
