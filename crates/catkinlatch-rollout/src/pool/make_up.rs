//! The make-up of the next batch.

use super::{Entry, Pool, Sample};

impl Pool {
    /// Returns the samples of the next batch in whole groups, the oldest versions first.
    pub fn batch(&self) -> Option<Vec<Sample>> {
        let mut whole: Vec<Vec<Sample>> = self.groups.values().filter_map(Entry::whole).collect();
        whole.sort_by_key(|samples| samples.iter().filter_map(|s| s.evidence.oldest()).min());
        let mut batch = Vec::new();
        for samples in whole {
            if batch.len() >= self.batch_samples as usize {
                break;
            }
            batch.extend(samples);
        }
        (batch.len() >= self.batch_samples as usize).then_some(batch)
    }
}

impl Entry {
    /// Returns the samples of the group if all are complete.
    fn whole(&self) -> Option<Vec<Sample>> {
        self.slots.iter().map(|slot| slot.done.clone()).collect()
    }
}
