//! What is committed about one trainer.

use super::{Admission, Batch, Coordinator, Group, Reply, Sample};
use catkinlatch_base::{
    BatchNumber, Epoch, GroupId, GroupNumber, HostId, Incarnation, Version, derive_value, invariant,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most groups of a trainer that may be open at one time.
pub const MAX_OPEN_GROUPS: usize = 4096;

/// How many delivered groups are remembered by id, so that a group posted again is recognised.
pub const CLOSED_GROUPS: usize = 8192;

derive_value! {
    /// The batch that was committed last.
    pub struct Committed {
        /// The batch.
        pub batch: Batch,
        /// The groups that it holds.
        pub groups: BTreeMap<GroupNumber, Group>,
        /// Whether its contents are lost, so that it can never be handed out again.
        pub lost: bool,
    }
}

derive_value! {
    /// What is committed about one trainer.
    ///
    /// A group is delivered whole and only while it is open, and its number is never given again.
    /// So the open groups alone tell what may still be delivered, however many went before.
    #[derive(Default)]
    pub struct Ledger {
        coordinator: Option<Coordinator>,
        newest: Version,
        next_group: GroupNumber,
        open: BTreeMap<GroupNumber, Group>,
        closed: VecDeque<GroupId>,
        last: Option<Committed>,
    }
}

impl Ledger {
    /// Returns the coordinator.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    /// Returns the newest version that the trainer published.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns the groups that were admitted and not delivered yet.
    pub fn open(&self) -> &BTreeMap<GroupNumber, Group> {
        &self.open
    }

    /// Returns the number that the next group will get.
    pub fn next_group(&self) -> GroupNumber {
        self.next_group
    }

    /// Returns the batch that was committed last.
    pub fn last(&self) -> Option<&Committed> {
        self.last.as_ref()
    }

    /// Returns the number of the next batch.
    pub fn next_number(&self) -> BatchNumber {
        self.last.as_ref().map_or(BatchNumber::new(1), |last| last.batch.number.next())
    }

    /// Assigns the coordinator, unless another epoch has begun since `after`.
    pub(super) fn assign(
        &mut self,
        after: Epoch,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Reply {
        match &self.coordinator {
            Some(held) if held.epoch != after => return Reply::Held(held.clone()),
            Some(_) | None => {}
        }
        let epoch = after.next();
        self.coordinator = Some(Coordinator { epoch, host: host.clone(), incarnation });
        Reply::Assigned(epoch)
    }

    /// Admits groups, all or none of them.
    pub(super) fn admit(&mut self, epoch: Epoch, groups: &[Admission]) -> Reply {
        if !self.is_current(epoch) {
            return Reply::Superseded;
        }
        if self.open.len() + groups.len() > MAX_OPEN_GROUPS {
            return Reply::Full;
        }
        Reply::Admitted(groups.iter().map(|group| self.admit_one(group)).collect())
    }

    fn admit_one(&mut self, group: &Admission) -> Option<GroupNumber> {
        if let Some((number, _)) = self.open.iter().find(|(_, open)| open.id == group.id) {
            return Some(*number);
        }
        if self.closed.contains(&group.id) {
            return None;
        }
        let number = self.next_group;
        self.next_group = number.next();
        let floor = Epoch::default();
        let group = Group { id: group.id.clone(), samples: group.samples, floor };
        self.open.insert(number, group);
        Some(number)
    }

    /// Records a version; versions only grow.
    pub(super) fn publish(&mut self, version: Version) -> Reply {
        self.newest = self.newest.max(version);
        Reply::Published(self.newest)
    }

    /// Commits the next batch whole or not at all.
    pub(super) fn commit(&mut self, epoch: Epoch, max_age_versions: u64, batch: &Batch) -> Reply {
        if !self.is_current(epoch) {
            return Reply::Superseded;
        }
        if batch.number != self.next_number() {
            return Reply::WrongNumber { next: self.next_number() };
        }
        let floor = Version::new(self.newest.get().saturating_sub(max_age_versions));
        let rejected: Vec<Sample> =
            batch.samples.iter().filter(|s| !self.accepts(s, epoch, floor)).cloned().collect();
        if !rejected.is_empty() {
            return Reply::Rejected(rejected);
        }
        let torn = self.torn(batch);
        if !torn.is_empty() {
            return Reply::Torn(torn);
        }
        self.close(batch, floor);
        Reply::Committed
    }

    /// Returns whether a sample is due, within the age bound and of a published version.
    fn accepts(&self, sample: &Sample, epoch: Epoch, floor: Version) -> bool {
        let Some(group) = self.open.get(&sample.group) else { return false };
        let epochs = group.floor..=epoch;
        let versions = floor..=self.newest;
        epochs.contains(&sample.epoch)
            && sample.oldest <= sample.newest
            && versions.contains(&sample.oldest)
            && versions.contains(&sample.newest)
    }

    /// Returns the groups of which a sample is missing or comes twice.
    fn torn(&self, batch: &Batch) -> Vec<GroupNumber> {
        let mut places: BTreeMap<GroupNumber, Vec<u32>> = BTreeMap::new();
        for sample in &batch.samples {
            places.entry(sample.group).or_default().push(sample.index);
        }
        let whole = |number: &GroupNumber, places: &mut Vec<u32>| {
            places.sort_unstable();
            self.open.get(number).is_some_and(|group| places.iter().copied().eq(0..group.samples))
        };
        places
            .iter_mut()
            .filter_map(|(number, places)| (!whole(number, places)).then_some(*number))
            .collect()
    }

    fn close(&mut self, batch: &Batch, floor: Version) {
        let mut groups = BTreeMap::new();
        let numbers: BTreeSet<GroupNumber> = batch.samples.iter().map(|s| s.group).collect();
        for number in numbers {
            let group = self.open.remove(&number);
            invariant!(
                "each sample is delivered once",
                group.is_some(),
                "batch {} holds group {number}, which is not open",
                batch.number
            );
            groups.extend(group.map(|group| (number, group)));
        }
        for sample in &batch.samples {
            invariant!(
                "no sample is older than the bound",
                sample.oldest >= floor,
                "sample {sample:?} of batch {} lies before version {floor}",
                batch.number
            );
        }
        self.closed.extend(groups.values().map(|group| group.id.clone()));
        let excess = self.closed.len().saturating_sub(CLOSED_GROUPS);
        self.closed.drain(..excess);
        self.last = Some(Committed { batch: batch.clone(), groups, lost: false });
    }

    /// Gives up the last batch and opens its groups again for samples of this epoch on.
    pub(super) fn void(&mut self, epoch: Epoch, number: BatchNumber) -> Reply {
        if !self.is_current(epoch) {
            return Reply::Superseded;
        }
        let next = self.next_number();
        let last = self.last.as_mut().filter(|last| last.batch.number == number);
        let Some(last) = last else { return Reply::WrongNumber { next } };
        if last.lost {
            return Reply::Voided;
        }
        let kept: Vec<Sample> =
            last.batch.samples.iter().filter(|s| s.epoch >= epoch).cloned().collect();
        if !kept.is_empty() {
            return Reply::Rejected(kept);
        }
        last.lost = true;
        for (number, group) in &last.groups {
            self.closed.retain(|id| *id != group.id);
            self.open.insert(*number, Group { floor: epoch, ..group.clone() });
        }
        Reply::Voided
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.coordinator.as_ref().is_some_and(|held| held.epoch == epoch)
    }
}
