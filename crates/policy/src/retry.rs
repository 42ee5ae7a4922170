//! Retry budget per workspace, earned as a ratio of its successful requests.

use std::collections::HashMap;

use hickoryreel_base::name::Workspace;

/// Settings of the retry budgets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Retries earned by one successful request.
    pub ratio: f64,
    /// Maximum balance of a budget, in retries.
    pub burst: f64,
    /// Maximum attempts of one request, including the first.
    pub max_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ratio: 0.08, burst: 10.0, max_attempts: 3 }
    }
}

/// Retry budgets of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    settings: Settings,
    balances: HashMap<Workspace, f64>,
}

impl Budget {
    /// Creates budgets in which each workspace starts with the maximum balance.
    pub fn new(settings: Settings) -> Self {
        Self { settings, balances: HashMap::new() }
    }

    /// Records a successful request of `workspace`.
    pub fn on_success(&mut self, workspace: &Workspace) {
        let Settings { ratio, burst, .. } = self.settings;
        let balance = self.balance_mut(workspace);
        *balance = (*balance + ratio).min(burst);
    }

    /// Withdraws one retry for a request that has made `attempts` attempts, and returns whether the
    /// retry is allowed. `retryable` is false for run-once requests, which are never retried.
    pub fn take(&mut self, workspace: &Workspace, attempts: u32, retryable: bool) -> bool {
        if !retryable || attempts >= self.settings.max_attempts {
            return false;
        }
        let balance = self.balance_mut(workspace);
        let allowed = *balance >= 1.0;
        if allowed {
            *balance -= 1.0;
        }
        allowed
    }

    fn balance_mut(&mut self, workspace: &Workspace) -> &mut f64 {
        if !self.balances.contains_key(workspace) {
            self.balances.insert(workspace.clone(), self.settings.burst);
        }
        self.balances.entry(workspace.clone()).or_default()
    }
}
