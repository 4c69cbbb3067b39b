//! A node that runs as a separate process.

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

/// A running node; the process is killed on drop.
pub struct Daemon {
    child: Child,
    folder: TempDir,
    callers: String,
    operators: String,
}

impl Daemon {
    /// Starts a single-host cluster without a disk on ephemeral ports.
    pub fn start() -> Self {
        Self::start_with("\"address_time_to_live_ms\": 5000")
    }

    /// Starts a node with another line for `address_time_to_live_ms` in its settings.
    pub fn start_with(address_time_to_live: &str) -> Self {
        let folder = TempDir::new().expect("a folder is created");
        let size = ["--hosts", "1", "--zones", "1", "--disks", "0", "--dir", "."];
        let created = run(folder.path(), &[&["settings", "example"], &size[..]].concat());
        assert!(created.status.success(), "{created:?}");
        let settings = folder.path().join("host-1.jsonc");
        use_ephemeral_ports(&settings);
        let text = fs::read_to_string(&settings).expect("the settings file can be read");
        let text = text.replace("\"address_time_to_live_ms\": 5000", address_time_to_live);
        fs::write(&settings, text).expect("the settings file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_catkinlatch"))
            .current_dir(folder.path())
            .args(["serve", "--settings", "host-1.jsonc"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the node prints its addresses");
        let words: Vec<&str> = line.split_whitespace().collect();
        let (callers, operators) = (words[4].to_owned(), words[8].to_owned());
        Self { child, folder, callers, operators }
    }

    /// Runs the program with the subcommand, the node's operator address and the other arguments.
    pub fn run(&self, subcommand: &[&str], arguments: &[&str]) -> Output {
        let operator = ["--operator", self.operators.as_str()];
        run(self.folder.path(), &[subcommand, &operator[..], arguments].concat())
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

    /// Sends a GET request with an API key to the entry address; returns the response status.
    pub fn call(&self, key: &str, path: &str) -> u16 {
        let client = Client::new(self.callers.parse().expect("an address")).with_key(key);
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        let sent = runtime.block_on(client.send(Method::GET, path, &[], Bytes::new()));
        sent.expect("the node answers").status().as_u16()
    }

    /// Returns the working folder of the node and of the commands.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file to the working folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Sends SIGTERM to the node.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the node exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the node exits")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Killing fails if the node has exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Replaces the ports in the settings file by 0, so that the node listens on ephemeral ports.
fn use_ephemeral_ports(path: &Path) {
    let text = fs::read_to_string(path).expect("the settings file can be read");
    let replace = |line: &str| match line.trim_start().split_once("listen\": ") {
        Some((name, _)) => format!("  {name}listen\": \"127.0.0.1:0\","),
        None => line.to_owned(),
    };
    let lines: Vec<String> = text.lines().map(replace).collect();
    fs::write(path, lines.join("\n")).expect("the settings file can be written");
}
