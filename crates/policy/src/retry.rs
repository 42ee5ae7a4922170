//! Retry budget per workspace: a fraction of the workspace's successes.

use std::collections::HashMap;

use hickoryreel_base::name::Workspace;

/// Settings of the retry budget.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Retries earned by one success.
    pub fraction: f64,
    /// Most retries that can be saved up.
    pub burst: f64,
    /// Most attempts of one request, the first included.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { fraction: 0.08, burst: 10.0, attempts: 3 }
    }
}

/// Retry budgets of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    settings: Settings,
    saved: HashMap<Workspace, f64>,
}

impl Budget {
    /// Budgets with `settings`; each workspace starts with a full burst.
    pub fn new(settings: Settings) -> Self {
        Self { settings, saved: HashMap::new() }
    }

    /// Records a success of `workspace`.
    pub fn on_success(&mut self, workspace: &Workspace) {
        let Settings { fraction, burst, .. } = self.settings;
        let saved = self.saved(workspace);
        *saved = (*saved + fraction).min(burst);
    }

    /// Takes one retry for a request that has had `attempts` attempts. `repeatable` is false for
    /// run-once work, which is never retried.
    pub fn take(&mut self, workspace: &Workspace, attempts: u32, repeatable: bool) -> bool {
        if !repeatable || attempts >= self.settings.attempts {
            return false;
        }
        let saved = self.saved(workspace);
        let allowed = *saved >= 1.0;
        if allowed {
            *saved -= 1.0;
        }
        allowed
    }

    fn saved(&mut self, workspace: &Workspace) -> &mut f64 {
        if !self.saved.contains_key(workspace) {
            self.saved.insert(workspace.clone(), self.settings.burst);
        }
        self.saved.entry(workspace.clone()).or_default()
    }
}
