//! Division of engine slots between trainers by weight.

use catkinlatch_base::{TrainerId, derive_value};

derive_value! {
    /// A trainer's claim to engine slots.
    pub struct Claim {
        /// The trainer that claims slots.
        pub trainer: TrainerId,
        /// The trainer's weight relative to other trainers; with weight 0 it gets no slots.
        pub weight: u32,
        /// The number of slots that the trainer has work for.
        pub wanted: u32,
    }
}

/// Divides `slots` between trainers by weight, and returns the slots of each claim in order.
///
/// Slots that a trainer has no work for are divided between the others by their weights. The
/// division is stateless: a trainer gets its slots back as soon as it claims them, and equal claims
/// give equal results on every node.
///
/// ```
/// use catkinlatch_rollout::share::{Claim, divide};
///
/// let claim = |name: &str, weight, wanted| {
///     let trainer = name.parse().expect("the id is valid");
///     Claim { trainer, weight, wanted }
/// };
/// let claims = [claim("defects", 3, 100), claim("letters", 1, 100), claim("tariffs", 4, 0)];
/// assert_eq!(divide(40, &claims), [30, 10, 0]);
/// ```
pub fn divide(slots: u32, claims: &[Claim]) -> Vec<u32> {
    let mut allocated = vec![0_u32; claims.len()];
    for _ in 0..slots {
        let Some(next) = most_underserved(claims, &allocated) else { break };
        allocated[next] += 1;
    }
    allocated
}

/// Returns the index of the claim that is furthest below its share and wants more slots.
fn most_underserved(claims: &[Claim], allocated: &[u32]) -> Option<usize> {
    let wants =
        |index: &usize| allocated[*index] < claims[*index].wanted && claims[*index].weight > 0;
    (0..claims.len()).filter(wants).min_by(|a, b| {
        let after = |index: usize| u64::from(allocated[index]) + 1;
        let (left, right) = (u64::from(claims[*b].weight), u64::from(claims[*a].weight));
        let by_share = (after(*a) * left).cmp(&(after(*b) * right));
        by_share.then_with(|| claims[*a].trainer.cmp(&claims[*b].trainer))
    })
}
