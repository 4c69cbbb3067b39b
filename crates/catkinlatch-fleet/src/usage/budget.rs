//! Token budgets of teams.

use catkinlatch_base::{Ratio, Tokens, derive_value};
use catkinlatch_state::config::Team;

/// The share of a budget from which on a warning is given.
const WARNING_THRESHOLD: Ratio = Ratio::new(0.8);

derive_value! {
    /// The decision of a budget on one more request.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// The team is below the warning threshold or has no budget.
        Allow,
        /// The budget is nearly used up, or is used up but does not refuse requests.
        Warn,
        /// The budget is used up and refuses requests.
        Refuse,
    }
}

derive_value! {
    /// A team's token budget for one usage window.
    ///
    /// ```
    /// use catkinlatch_base::Tokens;
    /// use catkinlatch_fleet::usage::{Budget, Verdict};
    ///
    /// let budget = Budget { tokens: Some(Tokens::new(100)), refuses: true };
    /// assert_eq!(budget.decide(Tokens::new(79)), Verdict::Allow);
    /// assert_eq!(budget.decide(Tokens::new(80)), Verdict::Warn);
    /// assert_eq!(budget.decide(Tokens::new(100)), Verdict::Refuse);
    /// ```
    #[derive(Copy, Eq)]
    pub struct Budget {
        /// The maximum number of tokens per window; `None` for no limit.
        pub tokens: Option<Tokens>,
        /// Whether requests are refused once the budget is used up.
        pub refuses: bool,
    }
}

impl Budget {
    /// Returns the budget in a team's configuration.
    pub fn of(team: &Team) -> Self {
        Self { tokens: team.budget_tokens_per_window, refuses: team.budget_refuses }
    }

    /// Returns the decision on a request when the team has used `used` tokens in the window.
    pub fn decide(&self, used: Tokens) -> Verdict {
        let Some(limit) = self.tokens else { return Verdict::Allow };
        if used >= limit && self.refuses {
            return Verdict::Refuse;
        }
        if used.get() as f64 >= limit.get() as f64 * WARNING_THRESHOLD.get() {
            return Verdict::Warn;
        }
        Verdict::Allow
    }
}
