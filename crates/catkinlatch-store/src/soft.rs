//! What the leader knows without replicating it: it can be learnt again within a heartbeat.

use crate::work::Work;
use catkinlatch_base::{HostId, Incarnation, Instant, ModelId, TargetId, WindowId};
use catkinlatch_ledger::{Count, Counted, Registry, State};
use catkinlatch_runtime::message::{Entry, Follow, Role, Seen, View};
use std::{collections::BTreeMap, time::Duration};

/// How long a silent process counts as alive; it speaks twice a second.
const SILENCE: Duration = Duration::from_millis(1_400);

/// How long the counts of a process that ended are kept.
const COUNTS_KEPT: Duration = Duration::from_secs(60);

/// A process that follows.
#[derive(Clone, Debug)]
struct Follower {
    name: String,
    entry: Option<Entry>,
    seen: Seen,
    version: Option<u64>,
    at: Instant,
}

/// What a process counted, and when it was last heard.
#[derive(Clone, Debug)]
struct Source {
    counts: BTreeMap<WindowId, Vec<Count>>,
    at: Instant,
}

/// What the leader knows without replicating it.
#[derive(Clone, Debug, Default)]
pub struct Soft {
    /// The targets.
    pub registry: Registry,
    /// Counts the changes.
    pub revision: u64,
    /// How much work there is.
    pub work: Work,
    /// How many orders each start of an engine has accepted, where that is known.
    pub orders: BTreeMap<(TargetId, u64), u64>,
    /// Engines that load weights of a model, and until when they may.
    loading: BTreeMap<TargetId, (ModelId, Instant)>,
    followers: BTreeMap<HostId, Follower>,
    sources: BTreeMap<Incarnation, Source>,
}

impl Soft {
    /// Notes that an engine loads weights, until this time at most.
    pub fn loads(&mut self, engine: &TargetId, model: &ModelId, until: Instant) {
        self.loading.insert(engine.clone(), (model.clone(), until));
    }

    /// Notes that an engine no longer loads.
    pub fn loaded(&mut self, engine: &TargetId) {
        self.loading.remove(engine);
    }

    /// Returns the model whose weights an engine loads, for which it takes no new work.
    pub fn loading(&self, engine: &TargetId, now: Instant) -> Option<&ModelId> {
        self.loading.get(engine).filter(|(_, until)| now < *until).map(|(model, _)| model)
    }

    /// Takes what a process says, and returns whether others must learn of it.
    pub fn heard(&mut self, follow: &Follow, now: Instant) -> bool {
        let entry = match &follow.role {
            Role::Entry(entry) => Some(entry.clone()),
            Role::Store => None,
        };
        let source = self.sources.entry(follow.incarnation);
        let source = source.or_insert_with(|| Source { counts: BTreeMap::new(), at: now });
        source.counts.extend(follow.counts.iter().cloned());
        source.at = now;
        let follower = Follower {
            name: follow.name.clone(),
            entry,
            seen: follow.seen,
            version: follow.version,
            at: now,
        };
        let is_new =
            |before: &Follower| before.entry != follower.entry || before.name != follower.name;
        let changes = self.followers.get(&follow.host).is_none_or(is_new);
        self.followers.insert(follow.host.clone(), follower);
        self.revision += u64::from(changes);
        changes
    }

    /// Counts all processes and targets as heard now: a new leader holds what the last one knew,
    /// and none could speak to it before it led.
    pub fn refresh(&mut self, now: Instant) {
        self.followers.values_mut().for_each(|follower| follower.at = now);
        self.registry.refresh(now);
    }

    /// Drops processes that are silent, and returns them; forgets what is known of starts of
    /// engines that are over.
    pub fn expire(&mut self, now: Instant) -> Vec<HostId> {
        self.sources.retain(|_, source| now < source.at + COUNTS_KEPT);
        let registry = &self.registry;
        self.orders.retain(|(id, born_ms), _| {
            registry.target(id).is_some_and(|target| target.born_ms == *born_ms)
        });
        let silent = self.followers.extract_if(.., |_, follower| now >= follower.at + SILENCE);
        let silent: Vec<HostId> = silent.map(|(host, _)| host).collect();
        self.revision += u64::from(!silent.is_empty());
        silent
    }

    /// Returns the entry hosts that callers may be sent to.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.followers.values().filter_map(|follower| follower.entry.as_ref())
    }

    /// Returns the hosts that keep state, without this one.
    pub fn stores(&self) -> impl Iterator<Item = (&HostId, &str)> {
        let stores = self.followers.iter().filter(|(_, follower)| follower.entry.is_none());
        stores.map(|(host, follower)| (host, follower.name.as_str()))
    }

    /// Returns whether all live processes hold this view and version of the configuration.
    pub fn is_held(&self, seen: Seen, version: Option<u64>) -> bool {
        let entries = self.followers.values().filter(|follower| follower.entry.is_some());
        let mut entries = entries.filter(|follower| follower.seen.term == seen.term);
        entries.all(|follower| follower.seen >= seen && follower.version >= version)
    }

    /// Returns what processes counted in windows that are not closed, as far as the replicated
    /// state does not hold it.
    pub fn uncounted(&self, state: &State) -> Vec<Counted> {
        let last = state.last_window();
        let all = self.sources.iter().flat_map(|(id, source)| {
            let windows = source.counts.iter();
            windows.map(|(window, counts)| Counted {
                source: *id,
                window: *window,
                counts: counts.clone(),
            })
        });
        let is_new = |counted: &Counted| {
            let held = state.counted.get(&counted.window);
            let held = held.and_then(|sources| sources.get(&counted.source));
            last.is_none_or(|last| counted.window > last) && held != Some(&counted.counts)
        };
        all.filter(is_new).collect()
    }

    /// Takes the view of another leader, to be ready to lead.
    pub fn adopt(&mut self, view: &View, now: Instant) {
        self.registry = Registry::new(view.targets.clone(), view.gone.clone(), now);
        for entry in &view.entries {
            let follower = Follower {
                name: entry.host.to_string(),
                entry: Some(entry.clone()),
                seen: Seen::default(),
                version: None,
                at: now,
            };
            self.followers.insert(entry.host.clone(), follower);
        }
        let known: Vec<&HostId> = view.entries.iter().map(|entry| &entry.host).collect();
        self.followers.retain(|host, follower| follower.entry.is_none() || known.contains(&host));
        self.revision += 1;
    }
}
