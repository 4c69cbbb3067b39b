//! The leader's soft state: it is not replicated, since it can be rebuilt within one heartbeat.

use crate::workload::Workload;
use catkinlatch_base::{HostId, Incarnation, Instant, ModelId, TargetId, WindowId};
use catkinlatch_ledger::{
    Count, Registry, State, Tally,
    build::{Builds, Recent},
};
use catkinlatch_runtime::message::{Entry, Follow, Role, View, ViewVersion};
use std::{collections::BTreeMap, time::Duration};

/// How long a process counts as in touch after its last poll, unless the settings say otherwise.
/// Processes poll twice a second.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How long the usage counts of a process are kept after its last poll.
const COUNTS_RETENTION: Duration = Duration::from_secs(60);

/// A process that polls this leader.
#[derive(Clone, Debug)]
struct Follower {
    name: String,
    entry: Option<Entry>,
    view_version: ViewVersion,
    version: Option<u64>,
    last_contact: Instant,
}

/// The usage that one start of a process has counted.
#[derive(Clone, Debug)]
struct Source {
    counts: BTreeMap<WindowId, Vec<Count>>,
    last_contact: Instant,
}

/// The leader's state that is not replicated.
#[derive(Clone, Debug, Default)]
pub struct SoftState {
    /// The registered targets.
    pub registry: Registry,
    /// The builds of the targets' software.
    pub builds: Builds,
    /// Incremented with each change that followers must receive.
    pub revision: u64,
    /// The items that wait and run, as of the last scheduling round.
    pub workload: Workload,
    /// How many orders each start of an engine has accepted, by engine and start time in
    /// milliseconds since the Unix epoch. Absent if unknown.
    pub orders: BTreeMap<(TargetId, u64), u64>,
    /// The engines that load weights of a model, and the deadline of each load.
    loading: BTreeMap<TargetId, (ModelId, Instant)>,
    followers: BTreeMap<HostId, Follower>,
    /// How long a process counts as in touch after its last poll; `None` applies the default.
    follower_timeout: Option<Duration>,
    sources: BTreeMap<Incarnation, Source>,
}

impl SoftState {
    /// Sets how long a process counts as in touch after its last poll.
    pub fn with_follower_timeout(self, timeout: Duration) -> Self {
        Self { follower_timeout: Some(timeout), ..self }
    }

    /// Sets the builds that an earlier process of this host knew.
    pub fn with_earlier_builds(self, earlier: Recent) -> Self {
        Self { builds: self.builds.with_earlier(earlier), ..self }
    }

    /// Records the builds of the registered targets; returns all that ran lately.
    pub fn observe_builds(&mut self, now: Instant) -> Recent {
        self.builds.observe(self.registry.targets(), now);
        self.builds.recent()
    }

    /// Records that an engine loads weights, with a deadline.
    pub fn begin_load(&mut self, engine: &TargetId, model: &ModelId, until: Instant) {
        self.loading.insert(engine.clone(), (model.clone(), until));
    }

    /// Records that an engine has stopped loading.
    pub fn end_load(&mut self, engine: &TargetId) {
        self.loading.remove(engine);
    }

    /// Returns the model whose weights an engine is loading. The engine accepts no new work for it.
    pub fn loading(&self, engine: &TargetId, now: Instant) -> Option<&ModelId> {
        self.loading.get(engine).filter(|(_, until)| now < *until).map(|(model, _)| model)
    }

    /// Records the poll of a process; returns whether other followers must be notified.
    pub fn update_follower(&mut self, follow: &Follow, now: Instant) -> bool {
        let entry = match &follow.role {
            Role::Entry(entry) => Some(entry.clone()),
            Role::Store => None,
        };
        let source = self.sources.entry(follow.incarnation);
        let source =
            source.or_insert_with(|| Source { counts: BTreeMap::new(), last_contact: now });
        source.counts.extend(follow.counts.iter().cloned());
        source.last_contact = now;
        let follower = Follower {
            name: follow.name.clone(),
            entry,
            view_version: follow.view_version,
            version: follow.version,
            last_contact: now,
        };
        let is_new =
            |before: &Follower| before.entry != follower.entry || before.name != follower.name;
        let changes = self.followers.get(&follow.host).is_none_or(is_new);
        self.followers.insert(follow.host.clone(), follower);
        self.revision += u64::from(changes);
        changes
    }

    /// Restarts the timeouts of all processes and targets.
    ///
    /// A new leader has adopted the view of the previous one, and nothing in it could contact the
    /// new leader before its election.
    pub fn reset_timeouts(&mut self, now: Instant) {
        self.followers.values_mut().for_each(|follower| follower.last_contact = now);
        self.registry.reset_timeouts(now);
    }

    /// Extends the timeouts of all processes and targets by the time in which this process was too
    /// busy to hear them.
    pub fn forgive(&mut self, late: Duration) {
        for follower in self.followers.values_mut() {
            follower.last_contact += late;
        }
        self.registry.forgive(late);
    }

    /// Drops processes whose timeout has expired, and returns them. Also drops expired usage counts
    /// and the order counts of engine starts that have ended.
    pub fn expire(&mut self, now: Instant) -> Vec<HostId> {
        self.sources.retain(|_, source| now < source.last_contact + COUNTS_RETENTION);
        let registry = &self.registry;
        self.orders.retain(|(id, born_ms), _| {
            registry.target(id).is_some_and(|target| target.born_ms == *born_ms)
        });
        let timeout = self.follower_timeout.unwrap_or(FOLLOWER_TIMEOUT);
        let is_silent = |follower: &Follower| now >= follower.last_contact + timeout;
        let expired = self.followers.extract_if(.., |_, follower| is_silent(follower));
        let expired: Vec<HostId> = expired.map(|(host, _)| host).collect();
        self.revision += u64::from(!expired.is_empty());
        expired
    }

    /// Returns the entry hosts, which serve callers.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.followers.values().filter_map(|follower| follower.entry.as_ref())
    }

    /// Returns the other hosts that hold the replicated state, with their names.
    pub fn stores(&self) -> impl Iterator<Item = (&HostId, &str)> {
        let stores = self.followers.iter().filter(|(_, follower)| follower.entry.is_none());
        stores.map(|(host, follower)| (host, follower.name.as_str()))
    }

    /// Returns whether any entry host is known, from its polls or from the view of another leader.
    pub fn has_followers(&self) -> bool {
        self.entries().next().is_some()
    }

    /// Returns whether all entry hosts in touch have received this view and version of the
    /// configuration.
    ///
    /// Those that have not polled this leader yet count as well, since they still obey what its
    /// predecessor told them.
    pub fn is_propagated(&self, view_version: ViewVersion, version: Option<u64>) -> bool {
        let mut entries = self.followers.values().filter(|follower| follower.entry.is_some());
        entries.all(|follower| follower.view_version >= view_version && follower.version >= version)
    }

    /// Returns the usage counts of open windows that differ from the replicated state.
    pub fn uncommitted_counts(&self, state: &State) -> Vec<Tally> {
        let last = state.last_window();
        let all = self.sources.iter().flat_map(|(id, source)| {
            let windows = source.counts.iter();
            windows.map(|(window, counts)| Tally {
                source: *id,
                window: *window,
                counts: counts.clone(),
            })
        });
        let is_new = |tally: &Tally| {
            let held = state.counted.get(&tally.window);
            let held = held.and_then(|sources| sources.get(&tally.source));
            last.is_none_or(|last| tally.window > last) && held != Some(&tally.counts)
        };
        all.filter(is_new).collect()
    }

    /// Replaces targets and entry hosts by the view of the current leader, so that this host can
    /// take over.
    pub fn adopt(&mut self, view: &View, now: Instant) {
        self.registry.adopt(view.targets.clone(), view.tombstones.clone(), now);
        self.builds.observe(view.targets.iter(), now);
        for entry in &view.entries {
            let follower = Follower {
                name: entry.host.to_string(),
                entry: Some(entry.clone()),
                view_version: ViewVersion::default(),
                version: None,
                last_contact: now,
            };
            self.followers.insert(entry.host.clone(), follower);
        }
        let known: Vec<&HostId> = view.entries.iter().map(|entry| &entry.host).collect();
        self.followers.retain(|host, follower| follower.entry.is_none() || known.contains(&host));
        self.revision += 1;
    }
}
