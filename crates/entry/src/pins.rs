//! Cache of the session pins that this entry has seen. Control decides on pins; a wrong cached pin
//! costs one extra dispatch.

use std::collections::HashMap;

use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use parking_lot::Mutex;

use crate::caller::Caller;

/// Maximum pins in the cache. The cache is cleared when it is full.
const MAX_PINS: usize = 65_536;

/// Pinned versions by workspace and session.
#[derive(Debug, Default)]
pub struct Pins {
    versions: Mutex<HashMap<(Workspace, Session), Version>>,
}

impl Pins {
    /// The version that the caller's session is pinned to, if cached.
    pub fn get(&self, caller: &Caller) -> Option<Version> {
        let session = caller.session.clone()?;
        self.versions.lock().get(&(caller.workspace.clone(), session)).cloned()
    }

    /// Caches the pin of the caller's session, if it has one.
    pub fn put(&self, caller: &Caller, version: &Version) {
        let Some(session) = caller.session.clone() else { return };
        let mut versions = self.versions.lock();
        if versions.len() >= MAX_PINS {
            versions.clear();
        }
        versions.insert((caller.workspace.clone(), session), version.clone());
    }
}
