//! `catkinlatch key`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_base::{KeyId, RequestId, TeamId, derive_value};
use catkinlatch_state::config::{Change, Edit, Key as StoredKey, Reply, Secret, View};
use std::{
    fs::File,
    io::{self, Read},
    path::PathBuf,
    process::ExitCode,
};

/// Creates, withdraws, rotates and lists API keys of callers.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "key",
    example = "{command_name} new --team harbour\n    {command_name} rotate harbour-1 --keep-old",
    error_code(3, "the cluster refused the change"),
    error_code(5, "the outcome is unknown; run again with the same --request to learn it")
)]
pub struct Key {
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
    New(New),
    Withdraw(Withdraw),
    Rotate(Rotate),
    List(List),
}

/// Creates a key and prints it; the secret part cannot be shown again.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
struct New {
    /// the team that the key authenticates
    #[argh(option)]
    team: TeamId,
    /// the public part of the key; generated if absent
    #[argh(option)]
    id: Option<KeyId>,
}

/// Withdraws a key; requests that use it are refused within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// the public part of the key
    #[argh(positional)]
    id: KeyId,
    /// identifies the change, so that a retry is recognized; generated if absent
    #[argh(option)]
    request: Option<RequestId>,
}

/// Creates a key for the team of an old key and withdraws the old key in the same change.
#[derive(FromArgs)]
#[argh(subcommand, name = "rotate")]
struct Rotate {
    /// the public part of the old key
    #[argh(positional)]
    id: KeyId,
    /// keeps the old key valid, so that it can be withdrawn once callers use the new one
    #[argh(switch)]
    keep_old: bool,
}

/// Lists the valid keys without their secret parts.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

derive_value! {
    /// The result of a change of keys, as printed with `--json`.
    struct ChangeResult {
        /// The new key with its secret part, if the change created one; it cannot be shown again.
        key: Option<String>,
        /// The answer of the cluster to the change.
        reply: Reply,
    }
}

impl Key {
    /// Runs the subcommand.
    pub fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        block_on(async {
            match self.subcommand {
                Subcommand::New(subcommand) => {
                    let secret = generate_secret(subcommand.id, &subcommand.team)?;
                    let edits = vec![Edit::PutKey(StoredKey::new(subcommand.team, &secret))];
                    submit(&client, self.json, edits, Some(&secret), None).await
                }
                Subcommand::Withdraw(subcommand) => {
                    let edits = vec![Edit::WithdrawKey(subcommand.id)];
                    submit(&client, self.json, edits, None, subcommand.request).await
                }
                Subcommand::Rotate(subcommand) => {
                    let team = team_of(&client, &subcommand.id).await?;
                    let secret = generate_secret(None, &team)?;
                    let mut edits = vec![Edit::PutKey(StoredKey::new(team, &secret))];
                    if !subcommand.keep_old {
                        edits.push(Edit::WithdrawKey(subcommand.id));
                    }
                    submit(&client, self.json, edits, Some(&secret), None).await
                }
                Subcommand::List(_) => list(&client, self.json).await,
            }
        })
    }
}

/// Sends a change of keys and prints the new key, if there is one.
async fn submit(
    client: &Client,
    json: bool,
    edits: Vec<Edit>,
    secret: Option<&Secret>,
    request: Option<RequestId>,
) -> Outcome {
    let request = match request {
        Some(request) => request,
        None => generate_request_id()?,
    };
    let change = Change { request, base: None, edits };
    let reply = client.send_change(&change).await?;
    let accepted = matches!(reply, Reply::Accepted { .. });
    let key = secret.filter(|_| accepted).map(Secret::reveal);
    if json {
        print_json(&ChangeResult { key, reply: reply.clone() });
    } else if let Some(key) = key {
        print(key);
    }
    client.report_reply(&reply)
}

async fn list(client: &Client, json: bool) -> Outcome {
    let view: View = client.get("/v1/config").await?;
    if json {
        print_json(&view.keys);
    } else {
        view.keys.iter().for_each(|key| print(format!("{} {}", key.id, key.team)));
    }
    Ok(ExitCode::SUCCESS)
}

async fn team_of(client: &Client, id: &KeyId) -> Result<TeamId, Failure> {
    let view: View = client.get("/v1/config").await?;
    let found = view.keys.into_iter().find(|key| key.id == *id);
    found.map(|key| key.team).ok_or_else(|| Failure::Refused(format!("key {id} is not in force")))
}

/// Generates a secret; an absent id is made of the team's name and four random bytes.
fn generate_secret(id: Option<KeyId>, team: &TeamId) -> Result<Secret, Failure> {
    let id = match id {
        Some(id) => id,
        None => {
            let [a, b, c, d, ..] = random_bytes()?;
            let text = format!("{team}-{a:02x}{b:02x}{c:02x}{d:02x}");
            text.parse().map_err(|error| Failure::Failed(format!("key: {error}; give --id")))?
        }
    };
    Ok(Secret::from_bytes(id, random_bytes()?))
}

/// Generates a random request id for a change.
pub fn generate_request_id() -> Result<RequestId, Failure> {
    let text: String = random_bytes()?.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("change-{text}").parse().expect("hexadecimal digits are valid in an id"))
}

/// Reads cryptographically secure random bytes from the operating system.
fn random_bytes() -> Result<[u8; 32], Failure> {
    let mut bytes = [0; 32];
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    let cannot =
        |error: io::Error| Failure::Failed(format!("key: cannot read random bytes: {error}"));
    read.map_err(cannot).map(|()| bytes)
}
