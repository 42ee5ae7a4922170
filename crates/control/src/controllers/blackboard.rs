//! What the controllers see.

use std::collections::BTreeSet;
use std::time::Instant;

use hickoryreel_base::time::unix_millis;
use hickoryreel_consensus::Members;
use hickoryreel_state::command::Holder;
use hickoryreel_state::config::Config;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Record;
use hickoryreel_state::roll_out::RollOut;

use crate::core::View;

/// The control state as of one linearizable read.
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// Term in which this replica leads.
    pub term: u64,
    /// When it was read.
    pub read_at: Instant,
    /// Wall-clock time of the read, in milliseconds since the Unix epoch.
    pub read_at_ms: u64,
    /// The configuration in force.
    pub config: Config,
    /// The running roll-out.
    pub roll_out: Option<RollOut>,
    /// The limits in force.
    pub limits: Limits,
    /// The member set.
    pub members: Members,
    /// Holders with open records.
    pub holders: BTreeSet<Holder>,
    /// Open records of holders that have lapsed.
    pub unsettled: Vec<(Key, Record)>,
}

impl Blackboard {
    pub(super) fn read(view: &View<'_>) -> Self {
        let machine = view.machine;
        Self {
            term: view.term(),
            read_at: Instant::now(),
            read_at_ms: unix_millis(),
            config: machine.config().clone(),
            roll_out: machine.roll_out().cloned(),
            limits: machine.limits().clone(),
            members: view.standing().members,
            holders: machine.active_holders(),
            unsettled: machine.unsettled(),
        }
    }
}
