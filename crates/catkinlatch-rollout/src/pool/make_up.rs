//! The make-up of the next batch.

use super::{Entry, Order, Pool, Sample};

impl Pool {
    /// Returns the samples of the next batch in whole groups, the oldest versions first.
    pub fn batch(&self) -> Option<Vec<Sample>> {
        let whole = match self.order {
            Order::Arrival => self.groups.values().map_while(Entry::whole).collect(),
            Order::LongestFirst => self.oldest_first(),
        };
        let mut batch = Vec::new();
        for samples in whole {
            if batch.len() >= self.batch_samples as usize {
                break;
            }
            batch.extend(samples);
        }
        (batch.len() >= self.batch_samples as usize).then_some(batch)
    }

    /// Returns the groups that are whole, those with the oldest versions first.
    fn oldest_first(&self) -> Vec<Vec<Sample>> {
        let mut whole: Vec<Vec<Sample>> = self.groups.values().filter_map(Entry::whole).collect();
        whole.sort_by_key(|samples| samples.iter().filter_map(|s| s.evidence.oldest()).min());
        whole
    }
}

impl Entry {
    /// Returns the samples of the group if all are complete.
    fn whole(&self) -> Option<Vec<Sample>> {
        self.slots.iter().map(|slot| slot.done.clone()).collect()
    }
}
