//! A node that runs as a process of its own.

use super::run;
use bytes::Bytes;
use catkinlatch_standin::client::Client;
use catkinlatch_state::config::{Change, Edit, Team};
use http::Method;
use std::{
    fs,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, ExitStatus, Output, Stdio},
};
use tempfile::TempDir;

/// A running node; it is killed when it goes out of scope.
pub struct Daemon {
    child: Child,
    folder: TempDir,
    callers: String,
    operators: String,
}

impl Daemon {
    /// Starts a node of one host on ephemeral ports.
    pub fn start() -> Self {
        Self::start_with("\"address_time_to_live_ms\": 5000")
    }

    /// Starts a node whose addresses may be used for another time.
    pub fn start_with(address_time_to_live: &str) -> Self {
        let folder = TempDir::new().expect("a folder is made");
        let size = ["--hosts", "1", "--zones", "1", "--disks", "0", "--dir", "."];
        let made = run(folder.path(), &[&["settings", "example"], &size[..]].concat());
        assert!(made.status.success(), "{made:?}");
        let settings = folder.path().join("host-1.jsonc");
        free_ports(&settings);
        let text = fs::read_to_string(&settings).expect("the settings are there");
        let text = text.replace("\"address_time_to_live_ms\": 5000", address_time_to_live);
        fs::write(&settings, text).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_catkinlatch"))
            .current_dir(folder.path())
            .args(["serve", "--settings", "host-1.jsonc"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the node says where it listens");
        let words: Vec<&str> = line.split_whitespace().collect();
        let (callers, operators) = (words[4].to_owned(), words[8].to_owned());
        Self { child, folder, callers, operators }
    }

    /// Runs a command against the node.
    pub fn run(&self, verb: &[&str], rest: &[&str]) -> Output {
        let operator = ["--operator", self.operators.as_str()];
        run(self.folder.path(), &[verb, &operator[..], rest].concat())
    }

    /// Creates a team through the operator interface.
    pub fn put_team(&self, name: &str) {
        let team = Team::new(name.parse().expect("the id is valid"));
        let request = format!("put-{name}").parse().expect("the id is valid");
        let change = Change { request, base: None, edits: vec![Edit::PutTeam(team)] };
        let operators = self.operators.parse().expect("an address");
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        let client = Client::new(operators);
        let posted = runtime.block_on(client.post("/v1/config/changes", &change));
        assert!(posted.expect("the node answers").status().is_success());
    }

    /// Sends a request as a caller and returns its status.
    pub fn call(&self, key: &str, path: &str) -> u16 {
        let client = Client::new(self.callers.parse().expect("an address")).with_key(key);
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        let sent = runtime.block_on(client.send(Method::GET, path, &[], Bytes::new()));
        sent.expect("the node answers").status().as_u16()
    }

    /// Returns the folder that commands run in.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the node ends")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The node may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Lets the node choose the ports that it listens on.
fn free_ports(path: &Path) {
    let text = fs::read_to_string(path).expect("the settings are there");
    let free = |line: &str| match line.trim_start().split_once("listen\": ") {
        Some((name, _)) => format!("  {name}listen\": \"127.0.0.1:0\","),
        None => line.to_owned(),
    };
    let lines: Vec<String> = text.lines().map(free).collect();
    fs::write(path, lines.join("\n")).expect("the settings are written");
}
