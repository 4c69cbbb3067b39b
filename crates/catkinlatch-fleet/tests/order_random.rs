//! Randomized simulations of orders: leaders change, pause while sending an order, and the platform
//! receives or answers orders late, more than once or not at all.

use catkinlatch_base::{Instant, OrderId, Term};
use catkinlatch_fleet::{
    Lease,
    order::{Dispatcher, InquiryOutcome, Outcome, Permit, Step, Timing},
};
use catkinlatch_state::order::{Action, Orders, Reply, Stage};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use test_case::test_case;

const PROCESSES: usize = 3;
const STEP: Duration = Duration::from_millis(20);
const LEASE: Duration = Duration::from_millis(2_000);
/// How long before the end of the old lease a new leader may be elected, due to clock differences.
const OVERLAP: Duration = Duration::from_millis(1_500);

/// A process that may become leader.
struct Process {
    dispatcher: Dispatcher,
    lease: Option<Lease>,
    paused_until: Instant,
    disconnected_until: Instant,
    /// Permits for orders that are not written yet.
    permits: Vec<Permit>,
}

/// An order in flight to the platform, or an answer in flight from it.
enum Message {
    Order { permit: Permit, from: usize },
    Answer { permit: Permit, to: usize, outcome: Outcome },
    Found { id: OrderId, to: usize, finding: InquiryOutcome },
}

struct Simulation {
    random: fastrand::Rng,
    now: Instant,
    processes: Vec<Process>,
    orders: Orders,
    term: u64,
    leader: Option<usize>,
    messages: Vec<(Instant, Message)>,
    taken: BTreeSet<OrderId>,
    /// The highest term under which an order was written.
    newest_written: Term,
    is_fault_free: bool,
    submitted: u64,
    writes: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let timing = Timing { longest_lease: LEASE, ..Timing::default() };
        let process = |_| Process {
            dispatcher: Dispatcher::new(timing),
            lease: None,
            paused_until: Instant::ZERO,
            disconnected_until: Instant::ZERO,
            permits: Vec::new(),
        };
        Self {
            random: fastrand::Rng::with_seed(seed),
            now: Instant::ZERO,
            processes: (0..PROCESSES).map(process).collect(),
            orders: Orders::default(),
            term: 0,
            leader: None,
            messages: Vec::new(),
            taken: BTreeSet::new(),
            newest_written: Term::default(),
            is_fault_free: false,
            submitted: 0,
            writes: 0,
        }
    }

    fn is_reachable(&self, number: usize) -> bool {
        let process = &self.processes[number];
        process.paused_until <= self.now && process.disconnected_until <= self.now
    }

    /// Renews the leader's lease, or elects another leader once the old lease may have expired.
    fn elect(&mut self) {
        if let Some(leader) = self.leader {
            if self.is_reachable(leader) && (self.is_fault_free || self.random.u16(0..800) > 0) {
                let until = self.now + LEASE;
                if let Some(lease) = &mut self.processes[leader].lease {
                    lease.until = until;
                }
                return;
            }
            let until = self.processes[leader].lease.map_or(Instant::ZERO, |lease| lease.until);
            if self.now + OVERLAP < until {
                return;
            }
        }
        let number = self.random.usize(0..PROCESSES);
        if self.is_reachable(number) && self.leader != Some(number) {
            self.term += 1;
            let until = self.now + LEASE;
            let lease = Lease { term: Term::new(self.term), since: self.now, until };
            self.processes[number].lease = Some(lease);
            self.leader = Some(number);
        }
    }

    fn inject_fault(&mut self) {
        let number = self.random.usize(0..PROCESSES);
        let span = Duration::from_millis(self.random.u64(50..6_000));
        match self.random.u16(0..600) {
            0 => self.processes[number].paused_until = self.now + span,
            1 => self.processes[number].disconnected_until = self.now + span,
            _ => {}
        }
    }

    fn run_process(&mut self, number: usize) {
        if self.processes[number].paused_until > self.now {
            return;
        }
        self.write(number);
        for _ in 0..20 {
            let process = &mut self.processes[number];
            let step = process.dispatcher.next(process.lease, &self.orders, self.now, 0);
            match step {
                Step::StandDown | Step::Wait(_) | Step::Idle => return,
                Step::Commit(change) => {
                    let leads = self.leader == Some(number) && self.is_reachable(number);
                    let applied = leads && self.orders.apply(&change) == Reply::Done;
                    self.processes[number].dispatcher.committed(&change, applied, self.now);
                }
                Step::Send(permit) => process.permits.push(permit),
                Step::Inquire { id, .. } => self.inquire(number, id),
            }
            if !self.is_fault_free && self.random.u16(0..500) == 0 {
                let span = Duration::from_millis(self.random.u64(50..6_000));
                self.processes[number].paused_until = self.now + span;
                return;
            }
        }
    }

    /// Writes the orders whose permits are still valid.
    fn write(&mut self, number: usize) {
        for permit in std::mem::take(&mut self.processes[number].permits) {
            let process = &mut self.processes[number];
            if permit.check(process.lease, self.now).is_err() {
                process.dispatcher.sent(&permit, Outcome::NotSent, self.now);
                continue;
            }
            let lease = process.lease.expect("the permit was checked");
            assert!(self.now < lease.until, "an order is written outside of its lease");
            let order = &self.orders.list()[&permit.id];
            assert!(order.term >= permit.fence, "an order is written before its intent");
            self.newest_written = self.newest_written.max(permit.fence);
            self.writes += 1;
            let left = permit.deadline - self.now;
            let delay = Duration::from_millis(self.random.u64(0..left.as_millis() as u64 + 1));
            let copies = self.random.usize(0..3);
            for _ in 0..copies {
                let message = Message::Order { permit: permit.clone(), from: number };
                self.messages.push((self.now + delay, message));
            }
            let outcome = Outcome::NoAnswer;
            let deadline = permit.deadline;
            self.messages.push((deadline, Message::Answer { permit, to: number, outcome }));
        }
    }

    fn inquire(&mut self, number: usize, id: OrderId) {
        let finding = match self.random.u8(0..4) {
            0 => InquiryOutcome::NoAnswer,
            _ if self.taken.contains(&id) => InquiryOutcome::Taken { target: None },
            _ => InquiryOutcome::Absent,
        };
        let at = self.now + Duration::from_millis(self.random.u64(1..400));
        self.messages.push((at, Message::Found { id, to: number, finding }));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = rest;
        for (_, message) in due {
            match message {
                Message::Order { permit, from } => {
                    assert!(
                        permit.fence >= self.newest_written,
                        "an earlier leader's order arrives after a later leader has written one"
                    );
                    self.taken.insert(permit.id.clone());
                    let outcome = Outcome::Done { target: None };
                    let at = now + Duration::from_millis(self.random.u64(1..900));
                    self.messages.push((at, Message::Answer { permit, to: from, outcome }));
                }
                Message::Answer { permit, to, outcome } => {
                    self.processes[to].dispatcher.sent(&permit, outcome, now);
                }
                Message::Found { id, to, finding } => {
                    self.processes[to].dispatcher.inquired(&id, finding, now);
                }
            }
        }
    }

    fn submit(&mut self) {
        let Some(leader) = self.leader.filter(|_| self.random.u8(0..10) == 0) else { return };
        self.submitted += 1;
        let id = format!("order-{}", self.submitted).parse().expect("the id is valid");
        let action = Action::Stop { target: "engine-1".parse().expect("the id is valid") };
        self.processes[leader].dispatcher.submit(id, action);
    }

    fn step(&mut self) {
        self.now += STEP;
        if !self.is_fault_free {
            self.inject_fault();
            self.submit();
        }
        self.elect();
        self.deliver();
        (0..PROCESSES).for_each(|number| self.run_process(number));
        for (id, order) in self.orders.list() {
            let taken = self.taken.contains(id);
            assert!(
                order.stage != Stage::Failed || !taken,
                "{id} is settled as failed but was accepted"
            );
            assert!(
                order.stage != Stage::Done || taken,
                "{id} is settled as done but was never accepted"
            );
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn orders_keep_to_lease_and_intent(seed: u64) {
    let steps = std::env::var("CATKINLATCH_STEPS").ok().and_then(|text| text.parse().ok());
    let mut simulation = Simulation::new(seed);
    (0..steps.unwrap_or(8_000)).for_each(|_| simulation.step());
    assert!(
        simulation.term > 5 && simulation.writes > 50,
        "term {}, {} writes",
        simulation.term,
        simulation.writes
    );
    simulation.is_fault_free = true;
    (0..3_000).for_each(|_| simulation.step());
    let mut stages: BTreeMap<String, usize> = BTreeMap::new();
    for order in simulation.orders.list().values() {
        *stages.entry(format!("{:?}", order.stage)).or_default() += 1;
    }
    assert!(stages.get("Done").is_some_and(|done| *done > 100), "{stages:?}");
    assert_eq!(simulation.orders.open().count(), 0, "{stages:?}");
}
