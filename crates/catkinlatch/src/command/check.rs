//! `catkinlatch check`.

use super::exit::{Outcome, print, print_json};
use argh::FromArgs;
use catkinlatch_base::{Findings, Place};
use catkinlatch_node::Settings;
use std::{path::PathBuf, process::ExitCode};

/// Checks settings files, each on its own and against each other, and prints all findings.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} host-1.jsonc host-2.jsonc",
    error_code(1, "there are findings")
)]
pub struct Check {
    /// the settings files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// prints the findings as JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    /// Checks the files and prints the findings; the exit code is 0 if there are none, else 1.
    pub fn run(self) -> Outcome {
        let findings = self.findings();
        if self.json {
            print_json(&findings.list());
        } else {
            findings.list().iter().for_each(print);
        }
        if findings.is_empty() {
            if !self.json {
                print(format!("{} files, no findings", self.files.len()));
            }
            return Ok(ExitCode::SUCCESS);
        }
        Ok(ExitCode::FAILURE)
    }

    fn findings(&self) -> Findings {
        let mut findings = Findings::new();
        if self.files.is_empty() {
            let place = Place { file: "check".to_owned(), line: 1, column: 1 };
            findings.add(place, "no file given", "name one or more settings files");
        }
        let mut valid: Vec<(String, Settings)> = Vec::new();
        for path in &self.files {
            match Settings::load(path) {
                Ok(settings) => valid.push((path.display().to_string(), settings)),
                Err(faults) => findings.extend(faults),
            }
        }
        findings.extend(compare(&valid));
        findings
    }
}

/// Finds settings that must be equal on all hosts but differ, and host names used twice.
fn compare(files: &[(String, Settings)]) -> Findings {
    let mut findings = Findings::new();
    let Some(((first_name, first), rest)) = files.split_first() else { return findings };
    let shared_digests = first.shared_digests();
    for (index, (name, settings)) in rest.iter().enumerate() {
        let place = Place { file: name.clone(), line: 1, column: 1 };
        for field in shared_digests.differences(&settings.shared_digests()) {
            let text = format!("{field} differs from {first_name}");
            findings.add(place.clone(), text, "make it equal on all hosts");
        }
        let earlier = &files[..=index];
        if let Some((duplicate, _)) = earlier.iter().find(|(_, other)| other.host == settings.host)
        {
            let text = format!("host {} is also the host of {duplicate}", settings.host);
            findings.add(place, text, "give each host its own name");
        }
    }
    findings
}
