//! `catkinlatch plan`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Client,
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

/// Checks, compares and applies a sheet: the whole configuration as CSV from a spreadsheet.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} check plan.csv\n    {command_name} diff plan.csv\n    {command_name} apply plan.csv --base 12",
    error_code(1, "the sheet has faults"),
    error_code(3, "the cluster refused the sheet, or has changed since --base"),
    error_code(4, "the sheet has destructive changes and needs --confirm"),
    error_code(5, "the outcome is unknown; apply the sheet again")
)]
pub struct Plan {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(Check),
    Diff(Compare),
    Apply(Apply),
    Export(Export),
}

/// Checks a sheet by itself, without a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the sheet, a CSV file
    #[argh(positional)]
    file: PathBuf,
}

/// Shows what applying a sheet would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Compare {
    /// the sheet, a CSV file
    #[argh(positional)]
    file: PathBuf,
}

/// Applies all changes of a sheet atomically.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the sheet, a CSV file
    #[argh(positional)]
    file: PathBuf,
    /// the revision that the diff was made against; any other is a conflict
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
    /// The changes that applying a sheet would make, as printed with `--json`.
    struct Report {
        /// The revision of the configuration that the sheet was compared with.
        base: Revision,
        /// The changes, one for each object that differs.
        lines: Vec<Line>,
        /// The destructive changes, in words; they need `--confirm`.
        dangers: Vec<String>,
        /// The answer of the cluster, or nothing if no change was sent.
        reply: Option<Reply>,
    }
}

impl Plan {
    /// Runs the subcommand.
    pub fn run(self) -> Outcome {
        let json = self.json;
        let client = || Client::new(self.operator.clone(), self.settings.as_deref());
        match &self.subcommand {
            Subcommand::Check(subcommand) => check(&subcommand.file, json),
            Subcommand::Diff(subcommand) => {
                let sheet = load_sheet(&subcommand.file)?;
                let (report, _) = block_on(compare(&client()?, &sheet))?;
                print_report(&report, json);
                Ok(ExitCode::SUCCESS)
            }
            Subcommand::Apply(subcommand) => {
                let sheet = load_sheet(&subcommand.file)?;
                block_on(apply(&client()?, &sheet, subcommand, json))
            }
            Subcommand::Export(_) => {
                let view: View = block_on(client()?.get("/v1/config"))?;
                print(sheet::write(&view.into_tables()).trim_end());
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn load_sheet(path: &Path) -> Result<Sheet, Findings> {
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
    let findings = load_sheet(path).err().unwrap_or_default();
    if json {
        print_json(&findings.list());
    } else {
        findings.list().iter().for_each(print);
    }
    Ok(if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Compares a sheet with the current configuration of a node.
async fn compare(client: &Client, sheet: &Sheet) -> Result<(Report, Diff), Failure> {
    let view: View = client.get("/v1/config").await?;
    let (base, keys) = (view.revision, view.keys.clone());
    let before = view.into_tables();
    let diff = Diff::new(&before, sheet.tables());
    let dangers = sheet::dangers(&before, &keys, sheet.tables());
    Ok((Report { base, lines: diff.lines.clone(), dangers, reply: None }, diff))
}

async fn apply(client: &Client, sheet: &Sheet, subcommand: &Apply, json: bool) -> Outcome {
    let (mut report, diff) = compare(client, sheet).await?;
    if let Some(base) = subcommand.base.map(Revision::new)
        && base != report.base
    {
        let text = format!("the configuration is at revision {}, not {base}", report.base);
        return Err(Failure::Refused(format!("{text}; run the diff again")));
    }
    if diff.is_empty() {
        print_report(&report, json);
        return Ok(ExitCode::SUCCESS);
    }
    if !report.dangers.is_empty() && !subcommand.confirm {
        let dangers = report.dangers.join("\n");
        return Err(Failure::Unconfirmed(format!(
            "{dangers}\nnothing was changed; add --confirm to apply"
        )));
    }
    let change = change(report.base, diff);
    let reply = client.send_change(&change).await?;
    report.reply = Some(reply.clone());
    print_report(&report, json);
    let Reply::Invalid { faults } = &reply else { return client.report_reply(&reply) };
    let mut findings = Findings::new();
    for fault in faults {
        let place = sheet.place(&fault.subject, &fault.field);
        findings.add(place, format!("{}: {}", fault.subject, fault.text), fault.hint.clone());
    }
    Err(Failure::Refused(findings.to_string()))
}

/// Builds the change for a diff.
///
/// The request id is a digest of the edits and the base revision, so that applying the same diff
/// again is idempotent.
fn change(base: Revision, diff: Diff) -> Change {
    let edits = serde_json::to_vec(&diff.edits).expect("edits serialize");
    let digest: String =
        Sha256::digest(edits).iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    let request: RequestId =
        format!("plan-{base}-{digest}").parse().expect("the text is valid in an id");
    Change { request, base: Some(base), edits: diff.edits }
}

fn print_report(report: &Report, json: bool) {
    if json {
        return print_json(report);
    }
    report.lines.iter().for_each(print);
    report.dangers.iter().for_each(|danger| print(format!("! {danger}")));
    print(format!("{} changes to revision {}", report.lines.len(), report.base));
}
