//! A soak test of the real program: runs a cluster under randomly injected faults, and compares
//! the records of callers, targets and platform at the end.

mod fault;
mod report;
mod training;

pub use self::report::Report;

use self::{fault::Fault, training::Training};
use super::{Caller, Cluster, Layout, Outcomes};
use crate::{
    engine::{self, Engine},
    platform::Platform,
    service::Service,
};
use catkinlatch_base::RequestId;
use catkinlatch_state::config::{Edit, Key, Kind, Model, Route, Secret, Team, Trainer};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{RwLock, watch},
    task::JoinSet,
    time,
};

/// Number of hosts in the cluster.
const HOSTS: usize = 6;

/// Number of hosts with a disk.
const DISKS: usize = 3;

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Length of a usage window, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// How long a voter may be unresponsive before it is replaced, in milliseconds.
const REPAIR_AFTER_MS: u64 = 3_000;

/// Range of the random pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 1_500..4_000;

/// Range of the random duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 500..9_000;

/// How long to wait for usage reports after the last request, in usage windows.
const WINDOWS_TO_REPORT: u32 = 6;

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
}

/// The stand-ins around the cluster.
struct Standins {
    engines: Vec<Engine>,
    services: Vec<Service>,
    platform: Platform,
}

impl Soak {
    /// Runs the test and returns its report.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster can't be set up or a fault can't be injected. Everything
    /// else that goes wrong is a violation in the report.
    pub async fn run(&self) -> Result<Report, String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::start(any_port).await?;
        let mut cluster = self.cluster(&platform).await.map_err(|error| error.to_string())?;
        cluster.start_all().map_err(|error| error.to_string())?;
        let all: Vec<usize> = (0..HOSTS).collect();
        cluster.wait_until_serving(&all, 0).await?;
        let secret = secret("surveyors");
        let revision = cluster.change(0, "setup", configuration(&secret)).await?;
        cluster.wait_until_serving(&all, revision).await?;
        let standins = Standins::start(platform, cluster.addresses()).await?;
        let cluster = Arc::new(RwLock::new(cluster));
        let (stop, stopped) = watch::channel(false);
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let caller = Caller::new(&*cluster.read().await, &secret, &format!("caller-{number}"));
            let random = fastrand::Rng::with_seed(self.seed + number as u64 + 1);
            callers.spawn(call(caller, random, stopped.clone()));
        }
        let trainer = Training::new(&*cluster.read().await, &secret, self.seed);
        let training = tokio::spawn(trainer.run(stopped.clone()));
        let keys = tokio::spawn(rotate_keys(cluster.clone(), stopped));
        let mut report = Report::new(self.seed);
        self.inject_faults(&cluster, &mut report).await?;
        stop.send_replace(true);
        let mut outcomes = Outcomes::default();
        while let Some(seen) = callers.join_next().await {
            outcomes.add(seen.map_err(|error| error.to_string())?);
        }
        report.violations.extend(keys.await.map_err(|error| error.to_string())?);
        let outcome = training.await.map_err(|error| error.to_string())?;
        self.await_recovery(&cluster, &standins, revision, &mut report).await?;
        report.check_callers(&outcomes, &standins.runs());
        report.check_training(&outcome, &standins.records());
        report.check_usage(&standins.platform, &standins.records());
        report.check_logs(&self.folder).map_err(|error| error.to_string())?;
        cluster.write().await.kill_all().map_err(|error| error.to_string())?;
        standins.stop().await?;
        Ok(report)
    }

    async fn cluster(&self, platform: &Platform) -> std::io::Result<Cluster> {
        let layout = Layout {
            program: self.program.clone(),
            folder: self.folder.clone(),
            hosts: HOSTS,
            disks: DISKS,
            platform: Some(platform.address()),
            usage_window_ms: WINDOW_MS,
            repair_after_ms: REPAIR_AFTER_MS,
        };
        Cluster::new(&layout).await
    }

    /// Injects random faults, at most two at a time, for the duration of the test, and then ends
    /// all of them.
    async fn inject_faults(
        &self,
        cluster: &Arc<RwLock<Cluster>>,
        report: &mut Report,
    ) -> Result<(), String> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let until = time::Instant::now() + self.duration;
        let mut open: Vec<(time::Instant, Fault)> = Vec::new();
        while time::Instant::now() < until {
            time::sleep(Duration::from_millis(random.u64(FAULT_PAUSE_MS))).await;
            let now = time::Instant::now();
            let mut cluster = cluster.write().await;
            for (_, fault) in open.extract_if(.., |(end, _)| *end <= now) {
                fault.end(&mut cluster).map_err(|error| error.to_string())?;
            }
            if let Some(fault) = Fault::choose(&mut random, HOSTS, open.iter().map(|(_, f)| f)) {
                fault.begin(&mut cluster).map_err(|error| error.to_string())?;
                report.faults.push(fault.clone());
                let duration = Duration::from_millis(random.u64(FAULT_DURATION_MS));
                open.push((now + duration, fault));
            }
        }
        let mut cluster = cluster.write().await;
        for (_, fault) in open {
            fault.end(&mut cluster).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Waits until all hosts serve again and the last usage windows have been reported.
    async fn await_recovery(
        &self,
        cluster: &Arc<RwLock<Cluster>>,
        standins: &Standins,
        revision: u64,
        report: &mut Report,
    ) -> Result<(), String> {
        let all: Vec<usize> = (0..HOSTS).collect();
        let cluster = cluster.read().await;
        if let Err(error) = cluster.wait_until_serving(&all, revision).await {
            report.violations.push(format!("after all faults ended: {error}"));
        }
        let last = standins.platform.reports().len();
        let reported = async || standins.platform.reports().len() > last + 1;
        if let Err(error) = cluster.wait("usage reports after all faults ended", reported).await {
            report.violations.push(error);
        }
        time::sleep(Duration::from_millis(WINDOW_MS) * WINDOWS_TO_REPORT).await;
        Ok(())
    }
}

impl Standins {
    async fn start(platform: Platform, nodes: Vec<SocketAddr>) -> Result<Self, String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for number in 1..=3 {
            let zone = id(&format!("zone-{number}"));
            let (name, options) = (id(&format!("engine-{number}")), engine::Options::default());
            let engine =
                Engine::start(name, id("draft"), zone, options, any_port, nodes.clone()).await?;
            engines.push(engine);
        }
        for number in 1..=2 {
            let (name, zone) = (id(&format!("survey-{number}")), id(&format!("zone-{number}")));
            let service = Service::start(name, id("survey"), zone, any_port, nodes.clone()).await?;
            services.push(service);
        }
        Ok(Self { engines, services, platform })
    }

    fn runs(&self) -> Vec<RequestId> {
        self.services.iter().flat_map(Service::runs).collect()
    }

    fn records(&self) -> Vec<engine::Record> {
        self.engines.iter().flat_map(Engine::records).collect()
    }

    async fn stop(self) -> Result<(), String> {
        for engine in self.engines {
            engine.stop().await?;
        }
        for service in self.services {
            service.stop().await?;
        }
        self.platform.stop().await
    }
}

/// Sends requests to random hosts until the test stops.
async fn call(
    mut caller: Caller,
    mut random: fastrand::Rng,
    stopped: watch::Receiver<bool>,
) -> Outcomes {
    let mut outcomes = Outcomes::default();
    while !*stopped.borrow() {
        let host = random.usize(..HOSTS);
        caller.send_request(host, &mut outcomes).await;
        time::sleep(CALL_PAUSE).await;
    }
    outcomes
}

/// Repeatedly adds a key and withdraws it; returns a violation for each host on which a withdrawn
/// key still worked.
async fn rotate_keys(cluster: Arc<RwLock<Cluster>>, stopped: watch::Receiver<bool>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut round = 0;
    while !*stopped.borrow() {
        round += 1;
        let name = format!("passing-{round}");
        let secret = secret(&name);
        let put = vec![Edit::PutKey(Key::new(id("surveyors"), &secret))];
        let withdraw = vec![Edit::WithdrawKey(id(&name))];
        let is_withdrawn = change(&cluster, &format!("put-{round}"), put).await
            && change(&cluster, &format!("withdraw-{round}"), withdraw).await;
        if is_withdrawn {
            violations.extend(try_withdrawn_key(&cluster, &secret, &name).await);
        }
        time::sleep(Duration::from_secs(1)).await;
    }
    violations
}

/// Submits a change to each host in turn until one reports it in force; returns false if none
/// does, in which case the change may still be in force.
async fn change(cluster: &RwLock<Cluster>, request: &str, edits: Vec<Edit>) -> bool {
    for host in 0..HOSTS {
        let cluster = cluster.read().await;
        let changing = cluster.change(host, request, edits.clone());
        if let Ok(Ok(_)) = time::timeout(Duration::from_secs(10), changing).await {
            return true;
        }
    }
    false
}

/// Sends a request with a withdrawn key to every host; returns a violation for each that answers.
async fn try_withdrawn_key(cluster: &RwLock<Cluster>, secret: &Secret, name: &str) -> Vec<String> {
    let mut caller = Caller::new(&*cluster.read().await, secret, name);
    let mut violations = Vec::new();
    for host in 0..HOSTS {
        let mut outcomes = Outcomes::default();
        let _ =
            time::timeout(Duration::from_secs(1), caller.send_request(host, &mut outcomes)).await;
        if !outcomes.answered.is_empty() {
            violations
                .push(format!("key {name} worked on host {} after it was withdrawn", host + 1));
        }
    }
    violations
}

fn configuration(secret: &Secret) -> Vec<Edit> {
    let team = Team::new(id("surveyors"));
    let model = Model::new(id("draft")).with_trainer(id("defects"));
    let draft = Route::new(id("draft"), Kind::Model(model.id.clone())).with_idempotent(true);
    let trainer = Trainer::new(id("defects"), team.id.clone(), model.id.clone(), 4);
    vec![
        Edit::PutTeam(team.clone()),
        Edit::PutKey(Key::new(team.id, secret)),
        Edit::PutModel(model),
        Edit::PutRoute(draft),
        Edit::PutRoute(Route::new(id("survey"), Kind::Service).with_deadline_ms(5_000)),
        Edit::PutTrainer(trainer),
    ]
}

fn secret(name: &str) -> Secret {
    let text = format!("ck_{name}_0123456789abcdef0123456789abcdef");
    Secret::parse(&text).expect("the key is well formed")
}

fn id<T: FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the soak test's id {text:?} is valid") };
    id
}
