//! Replicas of the usage counters of nodes on other hosts, in case those are lost.

use catkinlatch_base::{HostId, Incarnation, WindowId};
use catkinlatch_state::window::{Count, Figure, NodeUsage, Source, Windows, figure};
use std::collections::BTreeMap;

/// The replicated counters of one node.
#[derive(Clone, Debug)]
struct NodeCounters {
    host: HostId,
    windows: BTreeMap<WindowId, Vec<Figure>>,
}

/// Replicas of the usage counters of nodes on other hosts.
///
/// The counters are cumulative and never decrease, so messages may be reordered or repeated.
///
/// ```
/// use catkinlatch_base::{Incarnation, WindowId};
/// use catkinlatch_fleet::usage::Replicas;
/// use catkinlatch_state::window::Count;
///
/// let mut replicas = Replicas::new("host-2".parse().expect("the id is valid"));
/// let host = "host-1".parse().expect("the id is valid");
/// let count = Count { window: WindowId::new(7), figures: vec![] };
/// replicas.merge(&host, Incarnation::new(1), &[count]);
/// assert_eq!(replicas.usages(WindowId::new(7)).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Replicas {
    holder: HostId,
    held: BTreeMap<Incarnation, NodeCounters>,
}

impl Replicas {
    /// Creates an empty set of replicas; `holder` is the host that keeps them.
    pub fn new(holder: HostId) -> Self {
        Self { holder, held: BTreeMap::new() }
    }

    /// Merges the counters of one incarnation of a node on `host`.
    pub fn merge(&mut self, host: &HostId, incarnation: Incarnation, counts: &[Count]) {
        let empty = || NodeCounters { host: host.clone(), windows: BTreeMap::new() };
        let held = self.held.entry(incarnation).or_insert_with(empty);
        for count in counts {
            let figures = held.windows.entry(count.window).or_default();
            figure::merge(figures, &count.figures, Figure::raise);
        }
    }

    /// Returns the usage of each node, with its counters up to and including a window.
    pub fn usages(&self, through: WindowId) -> Vec<NodeUsage> {
        let counts = |held: &NodeCounters| {
            let windows = held.windows.range(..=through);
            let count = |(window, figures): (&WindowId, &Vec<Figure>)| Count {
                window: *window,
                figures: figures.clone(),
            };
            windows.map(count).collect()
        };
        self.held
            .iter()
            .map(|(incarnation, held)| NodeUsage {
                host: held.host.clone(),
                incarnation: *incarnation,
                spoken_by: Some(self.holder.clone()),
                counts: counts(held),
            })
            .collect()
    }

    /// Drops the counters that the frozen windows account for.
    pub fn prune(&mut self, windows: &Windows) {
        let Some(last) = windows.last() else { return };
        for (incarnation, held) in &mut self.held {
            let Some(source) = windows.sources().get(incarnation) else { continue };
            held.windows.retain(|window, figures| {
                *window > last || !is_accounted(source, *window, figures)
            });
        }
        self.held.retain(|incarnation, held| {
            let gone = windows.sources().get(incarnation).is_none_or(|source| source.is_gone);
            !(gone && held.windows.is_empty())
        });
    }
}

fn is_accounted(source: &Source, window: WindowId, figures: &[Figure]) -> bool {
    source.covers(&Count { window, figures: figures.to_vec() })
}
