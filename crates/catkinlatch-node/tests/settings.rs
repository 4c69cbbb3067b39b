//! Settings of a node: parsing, findings, rules between fields, and example files.

use catkinlatch_base::Findings;
use catkinlatch_node::{
    Settings,
    settings::{Credential, Example, ExampleError, File},
};
use std::{io, path::Path};
use test_case::test_case;

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
    let names = one.shared_digests().differences(&two.shared_digests());
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
    assert_eq!(one.shared_digests(), two.shared_digests());
}

#[test]
fn credentials_are_not_printed() {
    let settings = loopback().with_target_credential("hidden".to_owned());
    assert!(!format!("{settings:?}").contains("hidden"));
}

fn parse(text: &str) -> Result<Settings, Findings> {
    let read = |path: &Path| match path.to_str() {
        Some("target.token") => Ok("target-credential\n".to_owned()),
        _ => Err(io::ErrorKind::NotFound.into()),
    };
    Settings::parse("host-1.jsonc", text, &read)
}

fn example(hosts: u16, zones: u16, disks: u16) -> Vec<File> {
    Example::new(hosts, zones, disks, 7100).expect("the size is valid").files("secret")
}

#[test]
fn five_mistakes_make_five_findings_with_places() {
    let text = "{\n  // five mistakes\n  \"cluster\": \"c\", \"host\": \"host 1\",\n  \
        \"zone\": \"zone-a\",\n  \"listen\": \"127.0.0.1\", \"operator_listen\": \
        \"127.0.0.1:7101\",\n  \"peer_listen\": \"127.0.0.1:7102\", \"adress\": 1,\n  \
        \"beat_ms\": 300, \"lease_ms\": 1000,\n  \"timeline_events\": \"many\",\n}\n";
    let findings = parse(text).expect_err("the settings have mistakes");
    let seen: Vec<String> = findings.list().iter().map(ToString::to_string).collect();
    let places = ["3:27", "5:13", "6:36", "7:19", "8:22"];
    let texts = [
        "host is not valid",
        "listen is not valid",
        "unknown field \"adress\"",
        "lease_ms must be at least 4 times beat_ms (1200); raise lease_ms or lower beat_ms",
        "timeline_events is not a whole number from 1 to 1048576",
    ];
    assert_eq!(seen.len(), 5, "{seen:#?}");
    for ((seen, place), text) in seen.iter().zip(places).zip(texts) {
        assert!(seen.starts_with(&format!("host-1.jsonc:{place}: {text}")), "{seen}");
    }
}

#[test]
fn misspelled_field_gets_a_hint_and_is_not_also_missing() {
    let text = example(1, 1, 0)[0].text.replace("\"peer_listen\"", "\"peer_lissten\"");
    let findings = parse(&text).expect_err("a field is unknown");
    assert_eq!(findings.list().len(), 1, "{findings}");
    assert_eq!(findings.list()[0].hint, "did you mean \"peer_listen\"?");
}

#[test]
fn syntax_error_names_its_place() {
    let findings = parse("{\n  \"host\": \"a\"\n  \"zone\": \"b\" }").expect_err("a comma misses");
    assert_eq!((findings.list()[0].place.line, findings.list().len()), (2, 1), "{findings}");
}

#[test]
fn credential_may_lie_in_a_file() {
    let text =
        example(1, 1, 0)[0].text.replace("// \"target_credential\"", "\"target_credential\"");
    let settings = parse(&text).expect("the settings are valid");
    assert_eq!(settings.target_credential, Some(Credential::new("target-credential")));
    let findings = parse(&text.replace("target.token", "absent")).expect_err("no such file");
    assert!(findings.list()[0].text.contains("cannot read absent"), "{findings}");
}

#[test_case(1, 1, 0, 1; "one host")]
#[test_case(6, 3, 3, 5; "six hosts with three disks")]
#[test_case(6, 3, 2, 3; "six hosts with two disks")]
#[test_case(4, 3, 0, 3; "four hosts without disks")]
fn example_is_valid_and_agrees(hosts: u16, zones: u16, disks: u16, voters: usize) {
    let files = example(hosts, zones, disks);
    let settings: Vec<Settings> =
        files.iter().map(|f| parse(&f.text).unwrap_or_else(|e| panic!("{e}"))).collect();
    assert_eq!(settings.len(), usize::from(hosts));
    for one in &settings {
        assert_eq!(one.initial_voters.len(), voters);
        assert_eq!(one.shared_digests(), settings[0].shared_digests());
    }
}

#[test_case("\"zone\": \"zone-1\",\n", "\"zone\": \"zone-2\",\n", "zone is zone-2"; "zone")]
#[test_case("\"data_folder\"", "// \"data_folder\"", "disagree"; "disk")]
#[test_case("\"cluster_secret\"", "// ", "cluster_secret is missing"; "secret")]
#[test_case("[\"host-1\", ", "[\"host-9\", ", "names host-9"; "voter")]
#[test_case("\"host\": \"host-1\",\n", "\"host\": \"x\",\n", "host x is not among"; "host")]
#[test_case("7102\",\n  // The", "7101\",\n  // The", "must differ"; "port")]
#[test_case("\"drift_margin_ms\": 250", "\"drift_margin_ms\": 50", "a fifth"; "drift")]
#[test_case("\"operator_listen\": \"127.0.0.1", "\"operator_listen\": \"0.0.0.0", "operator_token is missing"; "token")]
fn rule_is_checked(from: &str, to: &str, text: &str) {
    let valid = &example(6, 3, 3)[0].text;
    assert!(valid.contains(from), "{valid}");
    let findings = parse(&valid.replacen(from, to, 1)).expect_err("a rule is broken");
    assert!(findings.list().iter().any(|finding| finding.text.contains(text)), "{findings}");
}

#[test]
fn ports_beyond_the_last_are_refused() {
    assert_eq!(Example::new(2, 1, 0, 65_530).map(|_| ()), Ok(()));
    assert_eq!(Example::new(2, 1, 0, 65_531).map(|_| ()), Err(ExampleError::Ports));
}
