//! Assembly of the next batch.

use super::{Entry, Order, Pool, Sample};

impl Pool {
    /// Returns the samples of the next batch, or `None` if too few groups are complete.
    ///
    /// A batch holds complete groups only. With [`Order::Arrival`], these are the groups admitted
    /// before the first incomplete one; with [`Order::LongestFirst`], any complete groups, those
    /// with the oldest versions first.
    pub fn batch(&self) -> Option<Vec<Sample>> {
        let complete = match self.order {
            Order::Arrival => self.groups.values().map_while(Entry::completed_samples).collect(),
            Order::LongestFirst => self.oldest_first(),
        };
        let mut batch = Vec::new();
        for samples in complete {
            if batch.len() >= self.batch_samples as usize {
                break;
            }
            batch.extend(samples);
        }
        (batch.len() >= self.batch_samples as usize).then_some(batch)
    }

    /// Returns the samples of each complete group, the groups with the oldest versions first.
    fn oldest_first(&self) -> Vec<Vec<Sample>> {
        let mut complete: Vec<Vec<Sample>> =
            self.groups.values().filter_map(Entry::completed_samples).collect();
        complete.sort_by_key(|samples| samples.iter().filter_map(|s| s.evidence.oldest()).min());
        complete
    }
}

impl Entry {
    /// Returns the samples of the group, or `None` if any is incomplete.
    fn completed_samples(&self) -> Option<Vec<Sample>> {
        self.slots.iter().map(|slot| slot.completed.clone()).collect()
    }
}
