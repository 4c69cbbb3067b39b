//! Division of engine slots between trainers by weight.

use catkinlatch_base::{TrainerId, derive_value};

derive_value! {
    /// What a trainer would use.
    pub struct Claim {
        /// The trainer.
        pub trainer: TrainerId,
        /// Its weight against the other trainers.
        pub weight: u32,
        /// The slots that it has work for.
        pub wanted: u32,
    }
}

/// Divides `slots` between trainers by weight and returns the slots of each claim, in order.
///
/// What a trainer has no work for is lent to the others by their weights, and comes back to it as
/// soon as it claims it: the division has no memory. Equal claims on any node give equal results.
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
    let mut given = vec![0_u32; claims.len()];
    for _ in 0..slots {
        let Some(next) = poorest(claims, &given) else { break };
        given[next] += 1;
    }
    given
}

/// Returns the claim that is furthest below its share and wants more.
fn poorest(claims: &[Claim], given: &[u32]) -> Option<usize> {
    let wants = |place: &usize| given[*place] < claims[*place].wanted && claims[*place].weight > 0;
    (0..claims.len()).filter(wants).min_by(|a, b| {
        let after = |place: usize| u64::from(given[place]) + 1;
        let (left, right) = (u64::from(claims[*b].weight), u64::from(claims[*a].weight));
        let by_share = (after(*a) * left).cmp(&(after(*b) * right));
        by_share.then_with(|| claims[*a].trainer.cmp(&claims[*b].trainer))
    })
}
