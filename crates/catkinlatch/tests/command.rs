//! Tests of the subcommands, run as processes of the real program.

#[path = "command/daemon.rs"]
mod daemon;

use daemon::Daemon;
use serde_json::Value;
use std::{
    fs,
    path::Path,
    process::{Command, Output},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

fn run(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkinlatch"));
    command.current_dir(folder).args(arguments).output().expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn example(folder: &Path) -> Output {
    run(folder, &["settings", "example", "--hosts", "6", "--dir", "cluster"])
}

#[test]
fn check_prints_all_findings_with_places() {
    let folder = TempDir::new().unwrap();
    let text = "{\n  \"cluster\": \"c\", \"host\": \"host 1\",\n  \"zone\": \"zone-a\",\n  \
        \"listen\": \"127.0.0.1\", \"operator_listen\": \"127.0.0.1:7101\",\n  \
        \"peer_listen\": \"127.0.0.1:7102\", \"adress\": 1,\n  \"beat_ms\": 300,\n  \
        \"timeline_events\": \"many\",\n}\n";
    fs::write(folder.path().join("bad.jsonc"), text).unwrap();
    let output = run(folder.path(), &["check", "bad.jsonc"]);
    let lines: Vec<String> = stdout(&output).lines().map(str::to_owned).collect();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(lines.len(), 5, "{lines:#?}");
    for (line, place) in lines.iter().zip(["2:27", "4:13", "5:36", "6:3", "7:22"]) {
        assert!(line.starts_with(&format!("bad.jsonc:{place}: ")), "{line}");
    }
}

#[test]
fn settings_example_passes_the_check() {
    let folder = TempDir::new().unwrap();
    let output = example(folder.path());
    assert!(output.status.success(), "{output:?}");
    let files: Vec<String> = stdout(&output).lines().map(str::to_owned).collect();
    assert_eq!(files.len(), 6);
    let mut arguments = vec!["check"];
    arguments.extend(files.iter().map(String::as_str));
    let output = run(folder.path(), &arguments);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn settings_example_overwrites_no_file() {
    let folder = TempDir::new().unwrap();
    assert!(example(folder.path()).status.success());
    assert_eq!(example(folder.path()).status.code(), Some(1));
}

#[test]
fn check_finds_differences_between_files() {
    let folder = TempDir::new().unwrap();
    assert!(example(folder.path()).status.success());
    let path = folder.path().join("cluster/host-2.jsonc");
    let text = fs::read_to_string(&path).unwrap().replace("\"beat_ms\": 200", "\"beat_ms\": 150");
    fs::write(&path, text).unwrap();
    let files = ["check", "cluster/host-1.jsonc", "cluster/host-2.jsonc"];
    let output = run(folder.path(), &files);
    assert!(stdout(&output).contains("beat_ms differs from cluster/host-1.jsonc"), "{output:?}");
}

#[test]
fn serve_refuses_invalid_settings() {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join("bad.jsonc"), "{ \"host\": 1 }").unwrap();
    let output = run(folder.path(), &["serve", "--settings", "bad.jsonc"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("bad.jsonc:1:11"), "{output:?}");
}

#[test]
fn status_names_a_node_that_does_not_answer() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), &["status", "--operator", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("127.0.0.1:1"), "{output:?}");
}

fn json(output: &Output) -> Value {
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

#[test]
fn key_is_created_rotated_and_withdrawn_and_its_secret_shown_once() {
    let node = Daemon::start();
    let unknown = node.run(&["key"], &["new", "--team", "harbour"]);
    assert_eq!(unknown.status.code(), Some(3), "{unknown:?}");
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("team harbour, which does not"));
    node.put_team("harbour");
    let created = node.run(&["key"], &["new", "--team", "harbour", "--id", "k1"]);
    let key = stdout(&created);
    assert!(key.starts_with("ck_k1_"), "{created:?}");
    let rotated = json(&node.run(&["key"], &["--json", "rotate", "k1"]));
    assert!(rotated["key"].as_str().is_some_and(|key| key.starts_with("ck_harbour-")));
    let listed = stdout(&node.run(&["key"], &["list"]));
    assert!(!listed.contains("k1 ") && listed.contains("harbour-"), "{listed}");
    let secret = key.trim().rsplit('_').next().unwrap();
    for command in [&["key", "--json"][..], &["status", "--json"]] {
        let arguments: &[&str] = if command[0] == "key" { &["list"] } else { &[] };
        assert!(!stdout(&node.run(command, arguments)).contains(secret));
    }
    let withdrawn = node.run(&["key"], &["withdraw", "k1"]);
    assert_eq!(withdrawn.status.code(), Some(3), "{withdrawn:?}");
}

/// Returns the first status that names a leader; `serve` prints its addresses before the election.
///
/// Fails after a minute, the time that the tests of processes allow for reaching any state.
fn wait_for_leader(node: &Daemon) -> Value {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let status = json(&node.run(&["status"], &["--json"]));
        if !status["leader"].is_null() {
            return status;
        }
        assert!(Instant::now() < end, "no leader within a minute: {status}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn status_names_leader_voters_and_nodes() {
    let node = Daemon::start();
    let status = wait_for_leader(&node);
    assert_eq!(status["leader"], "host-1");
    assert_eq!(status["voters"], serde_json::json!(["host-1"]));
    assert_eq!(status["nodes"][0]["zone"], "zone-1");
    assert_eq!(status["nodes"][0]["draining"], false);
}

/// Guards against decisions that operators cannot make, repeat or see.
#[test]
fn a_zone_is_evacuated_and_restored_and_that_is_shown() {
    let node = Daemon::start();
    wait_for_leader(&node);
    for _ in 0..2 {
        let evacuated = json(&node.run(&["evacuate"], &["zone-1", "--json"]));
        assert_eq!(evacuated["zones"], serde_json::json!(["zone-1"]));
    }
    assert!(stdout(&node.run(&["status"], &[])).contains("evacuated zone-1"));
    for _ in 0..2 {
        let restored = node.run(&["evacuate"], &["zone-1", "--end"]);
        assert_eq!(stdout(&restored).trim(), "no zone is evacuated");
    }
    assert!(!stdout(&node.run(&["status"], &[])).contains("evacuated"));
    let timeline = stdout(&node.run(&["timeline"], &[]));
    assert!(timeline.contains("evacuated zone zone-1"), "{timeline}");
    assert!(timeline.contains("restored zone zone-1"), "{timeline}");
}

#[test]
fn serve_exits_with_code_0_on_sigterm() {
    let mut node = Daemon::start_with("\"address_time_to_live_ms\": 0");
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn serve_exits_with_code_0_when_drained() {
    let mut node = Daemon::start_with("\"address_time_to_live_ms\": 0");
    assert!(node.run(&["drain"], &[]).status.success());
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn second_signal_aborts_a_draining_node() {
    let mut node = Daemon::start_with("\"address_time_to_live_ms\": 3600000");
    assert!(node.run(&["drain"], &[]).status.success());
    node.terminate();
    assert_eq!(node.wait().code(), Some(130));
}

const PLAN: &str = "kind;id;weight;model;in_use\r\nteam;harbour;3;;\r\nmodel;draft;;;\r\n\
    route;draft;;draft;\r\nzone;z1;;;yes\r\n";

#[test]
fn sheet_is_applied_once() {
    let node = Daemon::start();
    let path = node.write("plan.csv", PLAN);
    assert!(run(node.folder(), &["plan", "check", &path]).status.success());
    let diff = stdout(&node.run(&["plan"], &["diff", &path]));
    assert!(diff.contains("+ team harbour: budget_refuses false, weight 3"), "{diff}");
    let applied = json(&node.run(&["plan", "--json"], &["apply", &path, "--base", "0"]));
    assert_eq!(applied["lines"].as_array().map(Vec::len), Some(4));
    let revision = json(&node.run(&["status", "--json"], &[]))["config_revision"].clone();
    let again = json(&node.run(&["plan", "--json"], &["apply", &path]));
    assert_eq!(again["reply"], Value::Null);
    assert_eq!(json(&node.run(&["status", "--json"], &[]))["config_revision"], revision);
    let export = node.write("export.csv", &stdout(&node.run(&["plan"], &["export"])));
    let same = json(&node.run(&["plan", "--json"], &["diff", &export]));
    assert_eq!(same["lines"], serde_json::json!([]));
}

#[test]
fn destructive_sheet_needs_confirmation() {
    let node = Daemon::start();
    let path = node.write("plan.csv", PLAN);
    assert!(node.run(&["plan"], &["apply", &path]).status.success());
    assert!(node.run(&["key"], &["new", "--team", "harbour"]).status.success());
    let path = node.write("empty.csv", &PLAN.replace("team;harbour", "team;quay"));
    let refused = node.run(&["plan"], &["apply", &path]);
    assert_eq!(refused.status.code(), Some(4), "{refused:?}");
    let text = String::from_utf8_lossy(&refused.stderr);
    assert!(text.contains("all 1 keys would be withdrawn"), "{text}");
    assert!(stdout(&node.run(&["key"], &["list"])).contains("harbour"));
    assert!(node.run(&["plan"], &["apply", &path, "--confirm"]).status.success());
    assert_eq!(stdout(&node.run(&["key"], &["list"])), "");
}

#[test]
fn sheet_with_another_base_revision_is_refused() {
    let node = Daemon::start();
    let path = node.write("plan.csv", PLAN);
    let refused = node.run(&["plan"], &["apply", &path, "--base", "7"]);
    assert_eq!(refused.status.code(), Some(3), "{refused:?}");
}

#[test]
fn timeline_merges_and_filters_events_and_lists_unreachable_processes() {
    let node = Daemon::start();
    node.put_team("harbour");
    assert!(node.run(&["key"], &["new", "--team", "harbour", "--id", "k1"]).status.success());
    assert!(node.run(&["key"], &["withdraw", "k1"]).status.success());
    let output = node.run(&["timeline"], &["--operator", "127.0.0.1:1", "--team", "harbour"]);
    assert!(output.status.success(), "{output:?}");
    let lines: Vec<String> = stdout(&output).lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert!(lines[0].ends_with("control: key k1 of team harbour is withdrawn"), "{lines:#?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("not reached: 127.0.0.1:1"));
    let all = stdout(&node.run(&["timeline"], &["--json"]));
    let stamps: Vec<u64> = all
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("a JSON line"))
        .map(|event| event["stamp"]["wall_ms"].as_u64().expect("a stamp"))
        .collect();
    assert!(stamps.len() >= 4 && stamps.is_sorted(), "{stamps:?}");
}

#[test]
fn timeline_contains_no_secret() {
    let node = Daemon::start();
    node.put_team("harbour");
    let created = node.run(&["key"], &["new", "--team", "harbour", "--id", "k1"]);
    let key = stdout(&created).trim().to_owned();
    let refused = node.call(&key, "/v1/services/absent/x?api_key=ck_k1_in_query");
    assert_eq!(refused, 404);
    let events = stdout(&node.run(&["timeline"], &["--json"]));
    assert!(events.contains("refused"), "{events}");
    let secret = key.rsplit('_').next().unwrap();
    assert!(!events.contains(secret) && !events.contains("in_query"), "{events}");
}
