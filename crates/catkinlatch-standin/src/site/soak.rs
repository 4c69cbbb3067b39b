//! Runs a whole deployment under random failures, and compares what its callers, trainers and
//! operators were told with what its targets did.

mod caller;
mod fault;
mod operator;
mod record;
mod report;
mod route;
mod trainer;
mod world;

pub use self::report::Report;

use self::{
    caller::{call_services, read_streams},
    fault::Faults,
    operator::change_configuration,
    route::configuration,
    trainer::train,
    world::World,
};
use super::{Engine, Service, Site};
use std::{io, path::PathBuf, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time};

/// How many engines run items.
const ENGINES: usize = 3;

/// How many services answer live requests and score samples.
const SERVICES: usize = 2;

/// How many callers send live requests, each one after another.
const CALLERS: usize = 4;

/// How many trainers hand in jobs, each one after another.
const TRAINERS: usize = 2;

/// How long all that was accepted may take to end once the failures are over.
const RECOVERY: Duration = Duration::from_secs(60);

/// A run under random failures.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The program.
    pub program: PathBuf,
    /// Where settings, logs and data are kept.
    pub folder: PathBuf,
    /// How long failures go on.
    pub length: Duration,
    /// Chooses the failures.
    pub seed: u64,
}

impl Soak {
    /// Runs, and returns what was seen.
    ///
    /// # Errors
    ///
    /// Returns what keeps the deployment from being set up; all else is part of the report.
    pub async fn run(&self) -> io::Result<Report> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let site = Site::start(&self.program, &self.folder).await?;
        let controls: Vec<String> =
            site.stores().iter().map(|host| host.address(site.ports.control)).collect();
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for number in 0..ENGINES {
            let id = format!("engine-{number}");
            engines.push(Engine::start(&id, "drafts", controls.clone()).await?);
        }
        for number in 0..SERVICES {
            let id = format!("survey-{number}");
            services.push(Service::start(&id, "survey", controls.clone()).await?);
        }
        site.control("PUT", "/config", &configuration(1)).await;
        let world = Arc::new(World::new(&site, engines, services));
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            tasks.spawn(call_services(world.clone(), number, random.fork()));
        }
        tasks.spawn(read_streams(world.clone(), random.fork()));
        tasks.spawn(change_configuration(world.clone(), random.fork()));
        for number in 0..TRAINERS {
            tasks.spawn(train(world.clone(), number, random.fork()));
        }
        let mut faults = Faults::new(site, random);
        let faults_done = faults.run(&world, self.length).await?;
        world.stop();
        let ended = async { while tasks.join_next().await.is_some() {} };
        let is_over = time::timeout(RECOVERY, ended).await.is_ok();
        if !is_over {
            world.record().violation("accepted work does not end after the failures".to_owned());
        }
        Ok(Report::new(self.seed, faults_done, &world, faults.site()))
    }
}
