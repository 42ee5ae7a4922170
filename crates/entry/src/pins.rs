//! Session pins that this entry has seen. Control decides; a wrong entry here costs one dispatch.

use std::collections::HashMap;

use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use parking_lot::Mutex;

use crate::authority::Caller;

/// Most pins remembered. All are forgotten when it is reached.
const MOST: usize = 65_536;

/// Pins by workspace and session.
#[derive(Debug, Default)]
pub struct Pins {
    known: Mutex<HashMap<(Workspace, Session), Version>>,
}

impl Pins {
    /// The version that the caller's session is pinned to, as far as known.
    pub fn get(&self, caller: &Caller) -> Option<Version> {
        let session = caller.session.clone()?;
        self.known.lock().get(&(caller.workspace.clone(), session)).cloned()
    }

    /// Remembers a pin.
    pub fn put(&self, caller: &Caller, version: &Version) {
        let Some(session) = caller.session.clone() else { return };
        let mut known = self.known.lock();
        if known.len() >= MOST {
            known.clear();
        }
        known.insert((caller.workspace.clone(), session), version.clone());
    }
}
