//! Randomly injected faults of a site.

mod cut;

use super::{caller, context::Context};
use crate::site::{Engine, Limit, Pace, Place, Service, Site, Target};
use catkinlatch_base::Rate;
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::{self, Instant};

/// How long all stores must have run without a fault before one may lose its disk, so that the
/// store that failed before it is a voter again.
const MIN_FAULT_FREE_TIME: Duration = Duration::from_secs(6);

/// Number of seeds after they were exchanged, so few that none of them may hold state.
const SEEDS: usize = 2;

/// How long a service is cold that turns cold while it runs.
const COLD_TIME: Duration = Duration::from_millis(3_000);

/// How many answers a service loses in a row: enough that some of them belong to requests that
/// must not run more than once.
const LOST_ANSWERS: u32 = 25;

/// The highest rate that a target names, per second.
const MAX_NAMED_RATE: f64 = 10.0;

/// The time in which all hosts learn of a limit after the first answer that names it, also a host
/// that was down or paused.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);

/// How long a target that names a limit is watched after that.
const LIMIT_TIME: Duration = Duration::from_secs(5);

/// Interval at which a limited target is checked for a first answer that names its limit.
const NAMED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The drain time of the settings: how long a target that leaves may still get requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// The most requests that all hosts together may have in flight at a target before its first answer
/// tells them that it leaves: callers, streams, scoring calls and items.
const MAX_FIRST_REQUESTS: usize = 13;

/// How long a target that leaves is watched after the drain time.
const LEAVING_TIME: Duration = Duration::from_millis(1_000);

/// How long a response without end may take: the time of callers and of the settings' routes.
const ENDLESS_TIME: Duration = Duration::from_millis(3_500);

/// Memory of a host that callers connect to, in bytes.
const MAX_MEMORY: u64 = 120_000_000;

/// A target that is to leave.
#[derive(Clone, Copy)]
enum LeavingTarget<'a> {
    Service(&'a Service),
    Engine(&'a Engine),
}

impl LeavingTarget<'_> {
    fn current(self) -> Option<Target> {
        match self {
            Self::Service(service) => service.current(),
            Self::Engine(engine) => engine.current(),
        }
    }

    fn total_runs(self) -> usize {
        match self {
            Self::Service(service) => service.total_runs(),
            Self::Engine(engine) => engine.total_runs(),
        }
    }

    fn restart(self) {
        match self {
            Self::Service(service) => service.restart(),
            Self::Engine(engine) => engine.restart(),
        }
    }
}

/// Chooses faults at random and injects them.
pub struct Faults {
    site: Site,
    random: fastrand::Rng,
    /// Whether hosts are cut off from targets.
    has_cuts: bool,
    /// Whether a host that is cut off has been compared with another one.
    has_watched_cut: bool,
    /// When a store last had a fault.
    last_store_fault: Instant,
}

impl Faults {
    /// Creates the fault injection for a site that has just started.
    pub fn new(site: Site, random: fastrand::Rng) -> Self {
        Self {
            site,
            random,
            has_cuts: false,
            has_watched_cut: false,
            last_store_fault: Instant::now(),
        }
    }

    /// Also cuts off hosts, which must run the program `cut_host`.
    pub fn with_cuts(self) -> Self {
        Self { has_cuts: true, ..self }
    }

    /// Returns the site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Injects one fault at a time for `duration`, and returns a description of each.
    ///
    /// All processes run again when it returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, killed or signaled.
    pub async fn run(
        &mut self,
        context: &Arc<Context>,
        duration: Duration,
    ) -> io::Result<Vec<String>> {
        let end = Instant::now() + duration;
        let mut injected = Vec::new();
        while Instant::now() < end {
            let pause = Duration::from_millis(self.random.u64(200..1_500));
            time::sleep(pause).await;
            let fault = self.inject(context).await?;
            log::info!("soak: {fault}");
            injected.push(fault);
        }
        if self.has_cuts && !self.has_watched_cut {
            injected.push(self.watch_cut_off(context).await?);
        }
        Ok(injected)
    }

    /// Lets a target say that it leaves, while its heartbeats say that it is ready, and starts it
    /// anew afterwards.
    ///
    /// It is a violation if more requests reach it later than the drain time than hosts may have
    /// sent before the first answer told them.
    async fn leave(&mut self, context: &Context) -> String {
        let services = context.services.iter().map(LeavingTarget::Service);
        let engines = context.engines.iter().map(LeavingTarget::Engine);
        let targets: Vec<_> = services.chain(engines).collect();
        let target = targets[self.random.usize(..targets.len())];
        let Some(start) = target.current() else { return "no target leaves".to_owned() };
        start.says_leaving.store(true, Ordering::Relaxed);
        time::sleep(DRAIN_TIME).await;
        let before = target.total_runs();
        time::sleep(LEAVING_TIME).await;
        let late = target.total_runs() - before;
        let is_same = target.current().is_some_and(|current| current.id == start.id);
        context.record().check(!is_same || late <= MAX_FIRST_REQUESTS, || {
            format!("{late} requests reached {} after the drain time", start.id)
        });
        target.restart();
        format!("{} says that it leaves, and starts anew; {late} late requests", start.id)
    }

    /// Lets services refuse all requests for a while, or run one at a time.
    async fn fill(&mut self, context: &Context, duration: Duration) -> String {
        let (room, from) = (self.random.u32(..2), self.random.usize(..context.services.len()));
        let services = &context.services[from..];
        services.iter().for_each(|service| service.room.store(room, Ordering::Relaxed));
        time::sleep(duration).await;
        services.iter().for_each(|service| service.room.store(u32::MAX, Ordering::Relaxed));
        let count = services.len();
        format!("{count} services have room for {room} requests for {duration:?}")
    }

    /// Lets a target answer without end for a while.
    ///
    /// It is a violation if a host that callers connect to takes more than its memory, or if
    /// responses are still read a while after the target has got its last request.
    async fn flood(&mut self, context: &Context) -> String {
        let places = [
            Place::Head,
            Place::Interim,
            Place::Body,
            Place::ChunkSize,
            Place::Extension,
            Place::Trailers,
            Place::Event,
        ];
        let place = places[self.random.usize(..places.len())];
        let pace = if self.random.bool() { Pace::Fast } else { Pace::Drip };
        let flood = &context.floods[self.random.usize(..context.floods.len())];
        let before = flood.requests();
        flood.set_fault(Some((place, pace)));
        time::sleep(Duration::from_millis(self.random.u64(500..2_500))).await;
        flood.set_fault(None);
        let requests = flood.requests() - before;
        time::sleep(ENDLESS_TIME).await;
        let (open, mut record) = (flood.open(), context.record());
        record.check(open == 0, || {
            format!("{open} responses of {} still have no end: {place:?} {pace:?}", flood.target.id)
        });
        for host in self.site.entries() {
            let peak = host.peak_memory();
            record.check(peak < MAX_MEMORY, || format!("{} took {peak} bytes", host.name));
        }
        format!("{} answered {requests} requests without end: {place:?} {pace:?}", flood.target.id)
    }

    /// Lets a target name a limit while other faults go on.
    ///
    /// It is a violation if it gets more from all hosts together once they know of the limit.
    fn limit(&mut self, context: &Arc<Context>) -> String {
        let services = context.services.iter().map(Service::current);
        let targets = services.chain(context.engines.iter().map(Engine::current)).flatten();
        let targets: Vec<Target> = targets.collect();
        let Some(target) = self.random.choice(targets) else { return "no target runs".to_owned() };
        let rate = Rate::new(self.random.f64() * MAX_NAMED_RATE).expect("the rate is valid");
        let (id, context) = (target.id.clone(), context.clone());
        target.limit.set(Some(rate), LIMIT_NOTICE);
        tokio::spawn(async move {
            let naming = async {
                while !target.limit.is_named() {
                    time::sleep(NAMED_POLL_INTERVAL).await;
                }
            };
            if time::timeout(LIMIT_NOTICE + LIMIT_TIME, naming).await.is_ok() {
                time::sleep(LIMIT_NOTICE + LIMIT_TIME).await;
            }
            let (most, allowed) = (target.limit.most(), Limit::allowed(rate));
            context.record().check(most <= allowed, || {
                format!("{} named {rate} a second and got {most} requests in 4 s", target.id)
            });
            target.limit.set(None, LIMIT_NOTICE);
        });
        format!("{id} names a limit of {rate} a second")
    }

    /// Kills all hosts and starts them again, one with an empty disk and at times all with other
    /// seeds.
    async fn restart_all(
        &mut self,
        downtime: Duration,
        wiped: Option<usize>,
    ) -> io::Result<String> {
        self.site.hosts.iter_mut().try_for_each(|host| host.kill_started())?;
        wiped.map_or(Ok(()), |number| self.site.hosts[number].wipe())?;
        let stores: Vec<usize> = (0..self.site.stores().len()).collect();
        let seeds = self.random.bool().then(|| self.random.choose_multiple(stores, SEEDS));
        if let Some(seeds) = &seeds {
            let port = self.site.ports.control;
            let address = |number: &usize| self.site.hosts[*number].address(port);
            let seeds: Vec<String> = seeds.iter().map(address).collect();
            self.site.hosts.iter().try_for_each(|host| host.set_seeds(&seeds))?;
        }
        time::sleep(downtime).await;
        self.site.hosts.iter_mut().rev().try_for_each(|host| host.start())?;
        self.last_store_fault = Instant::now();
        Ok(format!("killed all hosts for {downtime:?}, wiped {wiped:?}, new seeds {seeds:?}"))
    }

    async fn inject(&mut self, context: &Arc<Context>) -> io::Result<String> {
        let number = self.random.usize(..self.site.hosts.len());
        let downtime = Duration::from_millis(self.random.u64(..1_200));
        let is_store = number < self.site.stores().len();
        let name = self.site.hosts[number].name.clone();
        let is_stable = self.last_store_fault.elapsed() > MIN_FAULT_FREE_TIME;
        let kinds = if self.has_cuts { 25 } else { 21 };
        let fault = match self.random.u8(..kinds) {
            0..4 => {
                self.site.hosts[number].kill()?;
                time::sleep(downtime).await;
                self.site.hosts[number].start()?;
                format!("killed {name} for {downtime:?}")
            }
            4 => {
                let code = self.site.hosts[number].stop()?;
                self.site.hosts[number].start()?;
                let mut record = context.record();
                record.check(code == Some(0), || format!("{name} ended with {code:?}"));
                return Ok(format!("stopped {name}"));
            }
            5..7 => {
                self.site.hosts[number].pause()?;
                time::sleep(downtime).await;
                self.site.hosts[number].resume()?;
                format!("paused {name} for {downtime:?}")
            }
            7 | 8 if is_store && is_stable => {
                self.site.hosts[number].wipe()?;
                time::sleep(downtime).await;
                self.site.hosts[number].start()?;
                format!("wiped the disk of {name}")
            }
            9 => {
                let wiped = (is_store && is_stable).then_some(number);
                return self.restart_all(downtime, wiped).await;
            }
            10 => {
                let service = self.random.usize(..context.services.len());
                context.services[service]
                    .answers_to_lose
                    .fetch_add(LOST_ANSWERS, Ordering::Relaxed);
                return Ok(format!("service {service} loses {LOST_ANSWERS} answers"));
            }
            11 => return Ok(self.leave(context).await),
            16 | 17 => return Ok(self.flood(context).await),
            12 => {
                let path = if self.random.bool() { "/survey/1" } else { "/chat/1" };
                let random = self.random.fork();
                let body = caller::crashing_body(self.random.u32(..));
                tokio::spawn(caller::send_crashing(context.clone(), path, body.clone(), random));
                return Ok(format!("a request to {path} crashes its targets: {body}"));
            }
            13 | 14 => {
                let service = self.random.usize(..context.services.len());
                let Some(start) = context.services[service].current() else {
                    return Ok(format!("service {service} is down"));
                };
                start.cold.turn_cold(COLD_TIME);
                return Ok(format!("{} turns cold", start.id));
            }
            15 => return Ok(self.fill(context, downtime).await),
            18 | 19 => return Ok(self.limit(context)),
            21..24 => return self.cut_off(),
            24.. => return self.watch_cut_off(context).await,
            _ => {
                let engine = self.random.usize(..context.engines.len());
                context.engines[engine].state().runs_to_break += 3;
                return Ok(format!("engine {engine} breaks the connection of three runs"));
            }
        };
        if is_store {
            self.last_store_fault = Instant::now();
        }
        Ok(fault)
    }
}
