//! Retry budget per workspace: a fraction of the workspace's successes.

use std::collections::HashMap;

use hickoryreel_base::name::Workspace;

/// Settings of the retry budget.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Retries earned by one success.
    pub ratio: f64,
    /// Most retries that can be saved up.
    pub burst: f64,
    /// Most attempts of one request, the first included.
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
    /// Budgets with `settings`; each workspace starts with a full burst.
    pub fn new(settings: Settings) -> Self {
        Self { settings, balances: HashMap::new() }
    }

    /// Records a success of `workspace`.
    pub fn on_success(&mut self, workspace: &Workspace) {
        let Settings { ratio, burst, .. } = self.settings;
        let balance = self.balance_mut(workspace);
        *balance = (*balance + ratio).min(burst);
    }

    /// Takes one retry for a request that has had `attempts` attempts. `retryable` is false for
    /// run-once work, which is never retried.
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
