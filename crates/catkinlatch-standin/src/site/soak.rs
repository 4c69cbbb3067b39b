//! A soak test: runs a complete deployment under randomly injected faults, and compares the
//! responses to callers, trainers and operators with the records of the targets.

mod caller;
mod context;
mod evacuation;
mod fault;
mod operator;
mod record;
mod report;
mod route;
mod trainer;

pub use self::report::Report;

use self::{
    caller::{call_services, read_streams},
    context::Context,
    evacuation::evacuate_zones,
    fault::Faults,
    operator::change_configuration,
    route::configuration,
    trainer::train,
};
use super::{Engine, FLOODED, Flood, Service, Shape, Site, target::FIRST_BUILD};
use serde_json::{Value, json};
use std::{
    io,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// The zones, each of which has an engine; the first ones also have a service.
const ZONES: [&str; 3] = ["zone-0", "zone-1", "zone-2"];

/// The number of hosts with a disk: voters, and as many spares as may be seeds.
const STORES: usize = 5;

/// The number of voters, which are the first seeds.
const VOTERS: usize = 3;

/// The number of hosts that callers connect to.
const ENTRIES: usize = 2;

/// Number of engines, which run items and streams.
const ENGINES: usize = 3;

/// The build of the last engine's software; the others run the first one.
const NEWER_BUILD: &str = "v2";

/// Number of services, which run live requests and score samples.
const SERVICES: usize = 2;

/// How long a service is cold after each start.
const COLD_TIME: Duration = Duration::from_millis(1_500);

/// Number of concurrent callers, each of which sends one live request at a time.
const CALLERS: usize = 4;

/// Number of concurrent trainers, each of which has one job at a time.
const TRAINERS: usize = 2;

/// Time limit for all accepted work to end after the last fault.
const RECOVERY: Duration = Duration::from_secs(60);

/// The parameters of a soak test.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The path of the program.
    pub program: PathBuf,
    /// The directory of settings, logs and data.
    pub folder: PathBuf,
    /// How long faults are injected.
    pub duration: Duration,
    /// The seed of the random choices of faults and requests.
    pub seed: u64,
    /// Whether hosts are cut off from targets, for which the program must be `cut_host`.
    pub has_cuts: bool,
}

impl Soak {
    /// Runs the test and returns its report.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment can't be set up, or if a process can't be started or
    /// signaled for a fault. Everything else that goes wrong is a violation in the report.
    pub async fn run(&self) -> io::Result<Report> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let settings = json!({"cold": {"excess": 1.5, "slack": 5}});
        let adjust = |_: usize, host: &mut Value| {
            host["cold"] = settings["cold"].clone();
            host["seeds"].as_array_mut().into_iter().for_each(|seeds| seeds.truncate(VOTERS));
        };
        let shape = Shape { stores: STORES, entries: ENTRIES, adjust: &adjust };
        let site = Site::start_shaped(&self.program, &self.folder, &shape).await?;
        let controls: Vec<String> =
            site.stores().iter().map(|host| host.address(site.ports.control)).collect();
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for number in 0..ENGINES {
            let id = format!("engine-{number}");
            let zone = ZONES[number % ZONES.len()];
            let build = if number + 1 < ENGINES { FIRST_BUILD } else { NEWER_BUILD };
            let engine = Engine::start_build(zone, &id, "drafts", controls.clone(), build);
            engines.push(engine.await?);
        }
        for number in 0..SERVICES {
            let id = format!("survey-{number}");
            let zone = ZONES[number % ZONES.len()];
            let service =
                Service::start_as(zone, &id, "survey", controls.clone(), COLD_TIME).await?;
            service.target.cold.is_stated.store(true, Ordering::Relaxed);
            services.push(service);
        }
        site.control("PUT", "/config", &configuration(1)).await;
        let service = Flood::start("survey-flood", "survey", controls.clone(), json!([]));
        let engine = Flood::start("engine-flood", "drafts", controls, json!([]));
        let floods = vec![service.await?, engine.await?];
        let context = Arc::new(Context::new(&site, engines, services, floods));
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            tasks.spawn(call_services(context.clone(), number, random.fork()));
        }
        tasks.spawn(read_streams(context.clone(), random.fork()));
        tasks.spawn(change_configuration(context.clone(), random.fork()));
        tasks.spawn(evacuate_zones(context.clone(), random.fork()));
        for number in 0..TRAINERS {
            tasks.spawn(train(context.clone(), number, random.fork()));
        }
        let faults = Faults::new(site, random);
        let mut faults = if self.has_cuts { faults.with_cuts() } else { faults };
        let injected = faults.run(&context, self.duration).await?;
        context.stop();
        let ended = async { while tasks.join_next().await.is_some() {} };
        let has_ended = time::timeout(RECOVERY, ended).await.is_ok();
        if !has_ended {
            context.record().violation("accepted work did not end after the last fault".to_owned());
        }
        let flooded = String::from_utf8_lossy(FLOODED);
        for service in &context.services {
            let floods = service.crashes().iter().filter(|body| **body == flooded).count();
            let id = service.target.id.as_str();
            context.record().check(floods == 0, || format!("{id} was flooded {floods} times"));
        }
        Ok(Report::new(self.seed, injected, &context, faults.site()))
    }
}
