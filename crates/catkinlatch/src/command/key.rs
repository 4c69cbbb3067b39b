//! `catkinlatch key`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Operator,
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

/// Makes, withdraws, rotates and lists callers' keys.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "key",
    example = "{command_name} new --team harbour\n    {command_name} rotate harbour-1 --keep-old",
    error_code(3, "the cluster refused the change"),
    error_code(5, "the outcome is unknown; give the same --request again to learn it")
)]
pub struct Key {
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
    New(New),
    Withdraw(Withdraw),
    Rotate(Rotate),
    List(List),
}

/// Makes a key and shows it once.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
struct New {
    /// the team that requests with the key run for
    #[argh(option)]
    team: TeamId,
    /// the public part of the key; drawn if absent
    #[argh(option)]
    id: Option<KeyId>,
}

/// Withdraws a key; requests with it are refused within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// the public part of the key
    #[argh(positional)]
    id: KeyId,
    /// identifies the change, so that a resend is recognised; drawn if absent
    #[argh(option)]
    request: Option<RequestId>,
}

/// Makes a new key for the team of an old one and withdraws the old one in the same change.
#[derive(FromArgs)]
#[argh(subcommand, name = "rotate")]
struct Rotate {
    /// the public part of the old key
    #[argh(positional)]
    id: KeyId,
    /// leaves the old key in force, to be withdrawn once callers have the new one
    #[argh(switch)]
    keep_old: bool,
}

/// Lists the keys in force, without their secret parts.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

derive_value! {
    /// What a change of keys made.
    struct Made {
        /// The new key, shown this once.
        key: Option<String>,
        /// What became of the change.
        reply: Reply,
    }
}

impl Key {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        let operator = Operator::new(self.operator, self.settings.as_deref())?;
        block_on(async {
            match self.verb {
                Verb::New(verb) => {
                    let secret = draw(verb.id, &verb.team)?;
                    let edits = vec![Edit::PutKey(StoredKey::new(verb.team, &secret))];
                    make(&operator, self.json, edits, Some(&secret), None).await
                }
                Verb::Withdraw(verb) => {
                    let edits = vec![Edit::WithdrawKey(verb.id)];
                    make(&operator, self.json, edits, None, verb.request).await
                }
                Verb::Rotate(verb) => {
                    let team = team_of(&operator, &verb.id).await?;
                    let secret = draw(None, &team)?;
                    let mut edits = vec![Edit::PutKey(StoredKey::new(team, &secret))];
                    if !verb.keep_old {
                        edits.push(Edit::WithdrawKey(verb.id));
                    }
                    make(&operator, self.json, edits, Some(&secret), None).await
                }
                Verb::List(_) => list(&operator, self.json).await,
            }
        })
    }
}

/// Sends a change of keys and prints what it made.
async fn make(
    operator: &Operator,
    json: bool,
    edits: Vec<Edit>,
    secret: Option<&Secret>,
    request: Option<RequestId>,
) -> Outcome {
    let request = match request {
        Some(request) => request,
        None => draw_request()?,
    };
    let change = Change { request, base: None, edits };
    let reply = operator.change(&change).await?;
    let accepted = matches!(reply, Reply::Accepted { .. });
    let key = secret.filter(|_| accepted).map(Secret::reveal);
    if json {
        print_json(&Made { key, reply: reply.clone() });
    } else if let Some(key) = key {
        print(key);
    }
    operator.explain(&reply)
}

async fn list(operator: &Operator, json: bool) -> Outcome {
    let view: View = operator.get("/v1/config").await?;
    if json {
        print_json(&view.keys);
    } else {
        view.keys.iter().for_each(|key| print(format!("{} {}", key.id, key.team)));
    }
    Ok(ExitCode::SUCCESS)
}

async fn team_of(operator: &Operator, id: &KeyId) -> Result<TeamId, Failure> {
    let view: View = operator.get("/v1/config").await?;
    let found = view.keys.into_iter().find(|key| key.id == *id);
    found.map(|key| key.team).ok_or_else(|| Failure::Refused(format!("key {id} is not in force")))
}

/// Draws a secret; without an id, one is made from the team's name.
fn draw(id: Option<KeyId>, team: &TeamId) -> Result<Secret, Failure> {
    let id = match id {
        Some(id) => id,
        None => {
            let [a, b, c, d, ..] = random()?;
            let text = format!("{team}-{a:02x}{b:02x}{c:02x}{d:02x}");
            text.parse().map_err(|error| Failure::Failed(format!("key: {error}; give --id")))?
        }
    };
    Ok(Secret::from_bytes(id, random()?))
}

/// Draws the id of a change.
pub fn draw_request() -> Result<RequestId, Failure> {
    let text: String = random()?.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("change-{text}").parse().expect("hexadecimal digits are valid in an id"))
}

/// Reads bytes that the operating system draws at random.
fn random() -> Result<[u8; 32], Failure> {
    let mut bytes = [0; 32];
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    let cannot = |error: io::Error| Failure::Failed(format!("key: no random bytes: {error}"));
    read.map_err(cannot).map(|()| bytes)
}
