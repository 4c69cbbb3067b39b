//! `catkinlatch plan`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Operator,
};
use argh::FromArgs;
use catkinlatch_base::{Findings, Place, RequestId, Revision, derive_value};
use catkinlatch_state::{
    config::{Change, Reply, View},
    sheet::{self, Diff, Line, Sheet},
};
use sha2::{Digest, Sha256};
use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Checks, compares and applies the sheet, the whole plan as a spreadsheet exports it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} check plan.csv\n    {command_name} diff plan.csv\n    {command_name} apply plan.csv --base 12",
    error_code(1, "the sheet has faults"),
    error_code(3, "the cluster refused the sheet, or has changed since --base"),
    error_code(4, "the sheet takes something away and needs --confirm"),
    error_code(5, "the outcome is unknown; apply the sheet again")
)]
pub struct Plan {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which names its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Check(Check),
    Diff(Compare),
    Apply(Apply),
    Export(Export),
}

/// Checks a sheet alone, without a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the sheet
    #[argh(positional)]
    file: PathBuf,
}

/// Shows what applying a sheet would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Compare {
    /// the sheet
    #[argh(positional)]
    file: PathBuf,
}

/// Applies a sheet whole or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the sheet
    #[argh(positional)]
    file: PathBuf,
    /// the revision that the diff was read at; any other is a conflict
    #[argh(option)]
    base: Option<u64>,
    /// applies a sheet that withdraws all keys, empties a team's share or stops a route's last zone
    #[argh(switch)]
    confirm: bool,
}

/// Prints the configuration as a sheet.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {}

derive_value! {
    /// What applying a sheet would change, for programs.
    struct Report {
        /// The revision that the sheet was compared with.
        base: Revision,
        /// The parts that change.
        lines: Vec<Line>,
        /// What would be taken away.
        dangers: Vec<String>,
        /// What became of the change, if it was sent.
        reply: Option<Reply>,
    }
}

impl Plan {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        let json = self.json;
        let operator = || Operator::new(self.operator.clone(), self.settings.as_deref());
        match &self.verb {
            Verb::Check(verb) => check(&verb.file, json),
            Verb::Diff(verb) => {
                let sheet = load(&verb.file)?;
                let (report, _) = block_on(compare(&operator()?, &sheet))?;
                show(&report, json);
                Ok(ExitCode::SUCCESS)
            }
            Verb::Apply(verb) => {
                let sheet = load(&verb.file)?;
                block_on(apply(&operator()?, &sheet, verb, json))
            }
            Verb::Export(_) => {
                let view: View = block_on(operator()?.get("/v1/config"))?;
                print(sheet::write(&view.into_tables()).trim_end());
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn load(path: &Path) -> Result<Sheet, Findings> {
    let file = path.display().to_string();
    match fs::read(path) {
        Ok(bytes) => Sheet::parse(&file, &bytes),
        Err(error) => {
            let mut findings = Findings::new();
            let place = Place { file, line: 1, column: 1 };
            findings.add(place, error.to_string(), "name a sheet that this user may read");
            Err(findings)
        }
    }
}

fn check(path: &Path, json: bool) -> Outcome {
    let findings = load(path).err().unwrap_or_default();
    if json {
        print_json(&findings.list());
    } else {
        findings.list().iter().for_each(print);
    }
    Ok(if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Compares a sheet with the configuration that a node has now.
async fn compare(operator: &Operator, sheet: &Sheet) -> Result<(Report, Diff), Failure> {
    let view: View = operator.get("/v1/config").await?;
    let (base, keys) = (view.revision, view.keys.clone());
    let before = view.into_tables();
    let diff = Diff::new(&before, sheet.tables());
    let dangers = sheet::dangers(&before, &keys, sheet.tables());
    Ok((Report { base, lines: diff.lines.clone(), dangers, reply: None }, diff))
}

async fn apply(operator: &Operator, sheet: &Sheet, verb: &Apply, json: bool) -> Outcome {
    let (mut report, diff) = compare(operator, sheet).await?;
    if let Some(base) = verb.base.map(Revision::new)
        && base != report.base
    {
        let text = format!("the configuration is at revision {}, not {base}", report.base);
        return Err(Failure::Refused(format!("{text}; read the diff again")));
    }
    if diff.is_empty() {
        show(&report, json);
        return Ok(ExitCode::SUCCESS);
    }
    if !report.dangers.is_empty() && !verb.confirm {
        let dangers = report.dangers.join("\n");
        return Err(Failure::Unconfirmed(format!(
            "{dangers}\nnothing was changed; give --confirm"
        )));
    }
    let change = change(report.base, diff);
    let reply = operator.change(&change).await?;
    report.reply = Some(reply.clone());
    show(&report, json);
    let Reply::Invalid { faults } = &reply else { return operator.explain(&reply) };
    let mut findings = Findings::new();
    for fault in faults {
        let place = sheet.place(&fault.subject, &fault.field);
        findings.add(place, format!("{}: {}", fault.subject, fault.text), fault.hint.clone());
    }
    Err(Failure::Refused(findings.to_string()))
}

/// Makes the change of a diff; the same diff at the same revision is the same change.
fn change(base: Revision, diff: Diff) -> Change {
    let edits = serde_json::to_vec(&diff.edits).expect("edits serialize");
    let digest: String =
        Sha256::digest(edits).iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    let request: RequestId =
        format!("plan-{base}-{digest}").parse().expect("the text is valid in an id");
    Change { request, base: Some(base), edits: diff.edits }
}

fn show(report: &Report, json: bool) {
    if json {
        return print_json(report);
    }
    report.lines.iter().for_each(print);
    report.dangers.iter().for_each(|danger| print(format!("! {danger}")));
    print(format!("{} changes to revision {}", report.lines.len(), report.base));
}
