//! Budgets of teams: when their use is warned about, and when it is refused.

use catkinlatch_base::{Ratio, Tokens, derive_value};
use catkinlatch_state::config::Team;

/// The share of a budget from which on the team is warned about.
const WARN_FROM: Ratio = Ratio::new(0.8);

derive_value! {
    /// What a team's budget says about one more request.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// The budget has room, or there is none.
        Allow,
        /// The budget is nearly or wholly used, and does not refuse.
        Warn,
        /// The budget is used up and refuses.
        Refuse,
    }
}

derive_value! {
    /// A team's budget of tokens in one usage window.
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
        /// The most tokens in a window, if there is a limit.
        pub tokens: Option<Tokens>,
        /// Whether use beyond it is refused.
        pub refuses: bool,
    }
}

impl Budget {
    /// Returns the budget of a team.
    pub fn of(team: &Team) -> Self {
        Self { tokens: team.budget_tokens_per_window, refuses: team.budget_refuses }
    }

    /// Returns what the budget says when the team has used this many tokens in the window.
    pub fn decide(&self, used: Tokens) -> Verdict {
        let Some(limit) = self.tokens else { return Verdict::Allow };
        if used >= limit && self.refuses {
            return Verdict::Refuse;
        }
        if used.get() as f64 >= limit.get() as f64 * WARN_FROM.get() {
            return Verdict::Warn;
        }
        Verdict::Allow
    }
}
