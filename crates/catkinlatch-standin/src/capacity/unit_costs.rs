//! Measures what a unit of each kind costs in processor time, memory and message size.

use super::memory::bytes_per_entry;
use catkinlatch_base::{
    Incarnation, Instant, Ratio, RouteId, TargetId, TeamId, Tokens, Version, WindowId,
};
use catkinlatch_fleet::{Meter, meter::Record};
use catkinlatch_log::{self as log_core, AppendReply, Echo, Frame, Index, Message, Peer};
use catkinlatch_node::peer;
use catkinlatch_route::{
    Announcement, Gate, Table,
    admission::{Class, Decision, Request},
    target::{Role, Selector},
};
use catkinlatch_state::{
    Command, State, claim,
    config::{Change, Edit, Key, Secret, Team},
};
use catkinlatch_wire::codec;
use std::{
    hint::black_box,
    io,
    str::FromStr,
    time::{Duration, Instant as Clock},
};

/// Repetitions of a measured step.
const ROUNDS: usize = 2_000;

/// Entries of a measured state, such as teams or API keys.
const ENTRIES: usize = 20_000;

/// The costs of one unit of each kind, as measured on this machine.
#[derive(Clone, Copy, Debug)]
pub struct UnitCosts {
    /// Time to choose a target for a request, in seconds per known target.
    pub choose_seconds_per_target: f64,
    /// Time to admit and finish a request with eight teams known, in seconds.
    pub admit_seconds: f64,
    /// Additional time to admit and finish a request, in seconds per known team beyond eight.
    pub admit_seconds_per_team: f64,
    /// Time to meter the usage of a request, in seconds.
    pub meter_seconds: f64,
    /// Time to apply the command that opens a claim to the state, in seconds.
    pub apply_seconds: f64,
    /// Time to encode, check and decode a frame, in seconds.
    pub frame_seconds: f64,
    /// Memory of a team, in bytes.
    pub team_bytes: f64,
    /// Memory of an API key, in bytes.
    pub key_bytes: f64,
    /// Memory of a target in the routing table, in bytes.
    pub target_bytes: f64,
    /// Memory of a claim, in bytes.
    pub claim_bytes: f64,
    /// Encoded size of the announcement of a target, as nodes forward it, in bytes.
    pub announcement_bytes: f64,
    /// Encoded size of a heartbeat of the log and its reply together, in bytes.
    pub heartbeat_bytes: f64,
    /// Encoded size of the command that opens a claim, in bytes.
    pub claim_command_bytes: f64,
    /// Encoded size of a small configuration change, in bytes.
    pub change_bytes: f64,
}

impl UnitCosts {
    /// Measures all unit costs, which takes a few seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the resident memory of the process cannot be read.
    pub fn measure() -> io::Result<Self> {
        let claim_bytes = bytes_per_entry(ENTRIES / 2, || state_with_claims(ENTRIES / 2))?;
        let target_bytes = bytes_per_entry(ENTRIES / 4, || table_with_targets(ENTRIES / 4))?;
        let key_bytes =
            bytes_per_entry(ENTRIES, || configured_state(ENTRIES, |n| Edit::PutKey(key(n))))?;
        let team_bytes =
            bytes_per_entry(ENTRIES, || configured_state(ENTRIES, |n| Edit::PutTeam(team(n))))?;
        let (few, many) = (admit_seconds(8), admit_seconds(1_000));
        Ok(Self {
            choose_seconds_per_target: choose_seconds(600) / 600.0,
            admit_seconds: few,
            admit_seconds_per_team: ((many - few) / 992.0).max(0.0),
            meter_seconds: meter_seconds(),
            apply_seconds: apply_seconds(),
            frame_seconds: frame_seconds(),
            team_bytes,
            key_bytes,
            target_bytes,
            claim_bytes,
            announcement_bytes: frame_bytes(&peer::Message::Announce(Box::new(announcement(1)))),
            heartbeat_bytes: heartbeat_bytes(),
            claim_command_bytes: frame_bytes(&open_claim(1)),
            change_bytes: frame_bytes(&change(vec![Edit::PutTeam(team(1))])),
        })
    }
}

/// Returns the size of an encoded message with its frame header, in bytes.
fn frame_bytes<T: serde::Serialize>(message: &T) -> f64 {
    (codec::encode(message).len() + catkinlatch_wire::HEADER_BYTES) as f64
}

/// Returns the mean time of a step over `rounds` rounds, in seconds.
fn mean_seconds(rounds: usize, mut step: impl FnMut(usize)) -> f64 {
    let begin = Clock::now();
    (0..rounds).for_each(&mut step);
    begin.elapsed().as_secs_f64() / rounds as f64
}

fn choose_seconds(targets: usize) -> f64 {
    let table = table_with_targets(targets);
    let selector = Selector::Engine(id("draft"));
    mean_seconds(ROUNDS, |_| {
        black_box(table.choose(&selector, &[], Instant::from_millis(1)));
    })
}

fn admit_seconds(teams: usize) -> f64 {
    let mut gate = Gate::new(Ratio::new(0.2));
    let route: RouteId = id("draft");
    gate.set_slots(&route, u32::MAX);
    let requests: Vec<Request> =
        (0..teams).map(|number| admission_request(&route, number)).collect();
    let now = Instant::from_millis(1);
    let mut round = |number: usize| {
        if let Decision::Run(permit) = gate.admit(&requests[number % teams], now) {
            gate.finish(permit, Some(Tokens::new(120)), now + Duration::from_millis(5));
        }
    };
    (0..teams).for_each(&mut round);
    mean_seconds(ROUNDS, round)
}

fn admission_request(route: &RouteId, number: usize) -> Request {
    Request {
        route: route.clone(),
        team: id(&format!("team-{number}")),
        weight: 1,
        class: Class::Live,
        cost: Tokens::new(100),
        deadline: Instant::from_millis(60_000),
    }
}

fn meter_seconds() -> f64 {
    let mut meter = Meter::new();
    let records: Vec<Record> =
        (0..100).map(|number| record(id(&format!("team-{number}")))).collect();
    mean_seconds(ROUNDS, |round| {
        meter.add(WindowId::new(1), &records[round % records.len()]);
    })
}

fn record(team: TeamId) -> Record {
    Record {
        team,
        model: id("draft"),
        prompt_tokens: Tokens::new(100),
        completion_tokens: Tokens::new(200),
        target_ms: 900,
    }
}

fn apply_seconds() -> f64 {
    let mut state = State::default();
    let commands: Vec<Command> = (0..ROUNDS).map(open_claim).collect();
    mean_seconds(ROUNDS, |round| {
        black_box(state.apply(&commands[round]));
    })
}

fn frame_seconds() -> f64 {
    let message = open_claim(1);
    mean_seconds(ROUNDS, |_| {
        let frame = catkinlatch_wire::Frame::new(codec::encode(&message));
        let mut bytes = bytes::BytesMut::from(&frame.encode()[..]);
        let decoded = catkinlatch_wire::Frame::decode(&mut bytes);
        let payload = decoded.ok().flatten().map(|frame| frame.payload).unwrap_or_default();
        black_box(codec::decode::<Command>(&payload).is_ok());
    })
}

/// Returns the size of an empty heartbeat and its reply, in bytes.
///
/// Only the reply is encoded, and counted twice: the two are about the same size.
fn heartbeat_bytes() -> f64 {
    let echo = Echo { run: 1, at: Instant::from_millis(1_000_000) };
    let reply = AppendReply {
        sent_at: Instant::from_millis(1_000_000),
        matches: true,
        index: Index::new(100_000),
        applied: Index::new(100_000),
        echo,
    };
    let frame: Frame<Command> = Frame {
        cluster: id("loopback"),
        group: log_core::Group::default(),
        term: catkinlatch_base::Term::new(9),
        from: Peer {
            host: id("host-100"),
            incarnation: Incarnation::new(1 << 100),
            zone: id("zone-1"),
            has_disk: true,
        },
        to: Some(Incarnation::new(1 << 100)),
        message: Message::AppendReply(reply),
    };
    2.0 * frame_bytes(&peer::Message::Control(Box::new(frame)))
}

fn configured_state(count: usize, edit: impl Fn(usize) -> Edit) -> State {
    let mut state = State::default();
    let mut edits = vec![Edit::PutTeam(team(0))];
    edits.extend((0..count).map(edit));
    state.apply(&change(edits));
    state
}

fn change(edits: Vec<Edit>) -> Command {
    Command::Config(Change { request: id("capacity"), base: None, edits })
}

fn team(number: usize) -> Team {
    Team::new(id(&format!("team-{number}")))
}

fn key(number: usize) -> Key {
    let text = format!("ck_key-{number}_0123456789abcdef0123456789abcdef");
    Key::new(id("team-0"), &Secret::parse(&text).expect("the key is well formed"))
}

fn table_with_targets(count: usize) -> Table {
    let mut table = Table::new();
    for number in 0..count {
        table.announce(announcement(number), Instant::ZERO);
    }
    table
}

fn announcement(number: usize) -> Announcement {
    let target: TargetId = id(&format!("engine-{number}"));
    Announcement {
        id: target,
        boot: id(&format!("{number:032x}")),
        role: Role::Engine { model: id("draft"), version: Version::new(7) },
        zone: id("zone-1"),
        address: format!("10.0.0.1:{number}"),
        slots: 8,
        price_class: "full".to_owned(),
        checks_fencing: true,
    }
}

fn state_with_claims(count: usize) -> State {
    let mut state = State::default();
    for number in 0..count {
        state.apply(&open_claim(number));
    }
    state
}

fn id<T: FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the id {text:?} is valid") };
    id
}

/// Returns the command that opens a claim.
fn open_claim(number: usize) -> Command {
    let owner = claim::Owner { node: Incarnation::new(1 << 100), attempt: number as u64 };
    let claim = claim::Claim {
        digest: [7; 32],
        owner,
        opened_ms: 1_800_000_000_000,
        deadline_ms: 1_800_000_060_000,
        stage: claim::Stage::Running,
    };
    let name = claim::Key { team: id("team-0"), key: format!("{number:036}") };
    Command::Claim(claim::Change::Open { name, claim, sent_ms: 1_800_000_000_000 })
}
