//! The batch ledger of one trainer.

use super::{Admission, Batch, Coordinator, Group, Reply, Sample};
use catkinlatch_base::{
    BatchNumber, Epoch, GroupId, GroupNumber, HostId, Incarnation, Version, derive_value, invariant,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of open groups per trainer.
pub const MAX_OPEN_GROUPS: usize = 4096;

/// Maximum number of delivered group ids that are kept per trainer to recognize a group that is
/// posted again. The oldest are dropped first.
pub const MAX_CLOSED_GROUPS: usize = 8192;

derive_value! {
    /// The last committed batch.
    pub struct CommittedBatch {
        /// Its committed composition.
        pub batch: Batch,
        /// The groups that the batch contains.
        pub groups: BTreeMap<GroupNumber, Group>,
        /// Whether the contents are lost, in which case the batch is never handed out again.
        pub lost: bool,
    }
}

derive_value! {
    /// The coordinator, groups, versions and last batch of one trainer.
    ///
    /// A group is delivered as a whole and only while it is open, and its number is never reused.
    /// The open groups therefore determine what may still be delivered, regardless of how many
    /// groups were delivered before.
    #[derive(Default)]
    pub struct Ledger {
        coordinator: Option<Coordinator>,
        newest: Version,
        next_group: GroupNumber,
        open: BTreeMap<GroupNumber, Group>,
        closed: VecDeque<GroupId>,
        last: Option<CommittedBatch>,
    }
}

impl Ledger {
    /// Returns the current coordinator, or `None` if none was ever assigned.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    /// Returns the newest version that the trainer published.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns the groups that are admitted but not delivered.
    pub fn open(&self) -> &BTreeMap<GroupNumber, Group> {
        &self.open
    }

    /// Returns the number that the next new group is assigned.
    pub fn next_group(&self) -> GroupNumber {
        self.next_group
    }

    /// Returns the last committed batch, including a lost one.
    pub fn last(&self) -> Option<&CommittedBatch> {
        self.last.as_ref()
    }

    /// Returns the number of the next batch; the first batch has number 1.
    pub fn next_number(&self) -> BatchNumber {
        self.last.as_ref().map_or(BatchNumber::new(1), |last| last.batch.number.next())
    }

    /// Assigns the coordinator unless the current epoch differs from `after`.
    pub(super) fn assign(
        &mut self,
        after: Epoch,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Reply {
        match &self.coordinator {
            Some(current) if current.epoch != after => return Reply::Held(current.clone()),
            Some(_) | None => {}
        }
        let epoch = after.next();
        self.coordinator = Some(Coordinator { epoch, host: host.clone(), incarnation });
        Reply::Assigned(epoch)
    }

    /// Admits all of the groups, or none if there are too many.
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

    /// Records a published version; a version older than the newest has no effect.
    pub(super) fn publish(&mut self, version: Version) -> Reply {
        self.newest = self.newest.max(version);
        Reply::Published(self.newest)
    }

    /// Commits the next batch if all of its samples are valid.
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
        let malformed = self.malformed_groups(batch);
        if !malformed.is_empty() {
            return Reply::Torn(malformed);
        }
        self.close(batch, floor);
        Reply::Committed
    }

    /// Returns whether a sample belongs to an open group, to an epoch that may be delivered, and to
    /// published versions no older than `floor`.
    fn accepts(&self, sample: &Sample, epoch: Epoch, floor: Version) -> bool {
        let Some(group) = self.open.get(&sample.group) else { return false };
        let epochs = group.floor..=epoch;
        let versions = floor..=self.newest;
        epochs.contains(&sample.epoch)
            && sample.oldest <= sample.newest
            && versions.contains(&sample.oldest)
            && versions.contains(&sample.newest)
    }

    /// Returns the groups that have missing or duplicate samples in the batch.
    fn malformed_groups(&self, batch: &Batch) -> Vec<GroupNumber> {
        let mut indices: BTreeMap<GroupNumber, Vec<u32>> = BTreeMap::new();
        for sample in &batch.samples {
            indices.entry(sample.group).or_default().push(sample.index);
        }
        let is_complete = |number: &GroupNumber, indices: &mut Vec<u32>| {
            indices.sort_unstable();
            self.open.get(number).is_some_and(|group| indices.iter().copied().eq(0..group.samples))
        };
        indices
            .iter_mut()
            .filter_map(|(number, indices)| (!is_complete(number, indices)).then_some(*number))
            .collect()
    }

    /// Removes the batch's groups from the open ones and records the batch as the last one.
    fn close(&mut self, batch: &Batch, floor: Version) {
        let mut groups = BTreeMap::new();
        let numbers: BTreeSet<GroupNumber> = batch.samples.iter().map(|s| s.group).collect();
        for number in numbers {
            let group = self.open.remove(&number);
            invariant!(
                "each sample is delivered once",
                group.is_some(),
                "batch {} contains group {number}, which is not open",
                batch.number
            );
            groups.extend(group.map(|group| (number, group)));
        }
        for sample in &batch.samples {
            invariant!(
                "no sample is older than the bound",
                sample.oldest >= floor,
                "sample {sample:?} of batch {} is older than version {floor}",
                batch.number
            );
        }
        self.closed.extend(groups.values().map(|group| group.id.clone()));
        let excess = self.closed.len().saturating_sub(MAX_CLOSED_GROUPS);
        self.closed.drain(..excess);
        self.last = Some(CommittedBatch { batch: batch.clone(), groups, lost: false });
    }

    /// Marks the last batch as lost and reopens its groups for samples of `epoch` or later.
    pub(super) fn void(&mut self, epoch: Epoch, number: BatchNumber) -> Reply {
        let last = match self.mark_lost(epoch, number) {
            Ok(Some(last)) => last,
            Ok(None) => return Reply::Voided,
            Err(reply) => return reply,
        };
        for (number, group) in &last.groups {
            self.closed.retain(|id| *id != group.id);
            self.open.insert(*number, Group { floor: epoch, ..group.clone() });
        }
        Reply::Voided
    }

    /// Marks the last batch as lost, and forgets the ids of its groups so that a trainer which has
    /// not read the batch may post them again, under new numbers.
    pub(super) fn lose(&mut self, epoch: Epoch, number: BatchNumber) -> Reply {
        match self.mark_lost(epoch, number) {
            Ok(Some(last)) => {
                let is_lost = |id: &GroupId| last.groups.values().any(|group| group.id == *id);
                self.closed.retain(|id| !is_lost(id));
                Reply::Lost
            }
            Ok(None) => Reply::Lost,
            Err(reply) => reply,
        }
    }

    /// Marks the last batch as lost and returns it, or `None` if it was lost already.
    ///
    /// Fails with the reply if the change is out of date or the coordinator has the contents.
    fn mark_lost(
        &mut self,
        epoch: Epoch,
        number: BatchNumber,
    ) -> Result<Option<CommittedBatch>, Reply> {
        if !self.is_current(epoch) {
            return Err(Reply::Superseded);
        }
        let next = self.next_number();
        let last = self.last.as_mut().filter(|last| last.batch.number == number);
        let Some(last) = last else { return Err(Reply::WrongNumber { next }) };
        if last.lost {
            return Ok(None);
        }
        let current: Vec<Sample> =
            last.batch.samples.iter().filter(|s| s.epoch >= epoch).cloned().collect();
        if !current.is_empty() {
            return Err(Reply::Rejected(current));
        }
        last.lost = true;
        Ok(Some(last.clone()))
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.coordinator.as_ref().is_some_and(|current| current.epoch == epoch)
    }
}
