//! What the controllers see.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use hickoryreel_base::time::unix_millis;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_state::command::Holder;
use hickoryreel_state::config::Config;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::order;
use hickoryreel_state::order::Fence;
use hickoryreel_state::order::Order;
use hickoryreel_state::order::Progress;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Record;
use hickoryreel_state::roll_out::RollOut;

use crate::core::View;

/// The control state as of one linearizable read.
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// This replica.
    pub id: ReplicaId,
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
    /// The order lease.
    pub order_lease: Option<order::Lease>,
    /// Orders without a known result, by fencing number.
    pub orders: BTreeMap<Fence, Order>,
}

impl Blackboard {
    pub(super) fn read(view: &View<'_>) -> Self {
        let machine = view.machine;
        let standing = view.standing();
        let unfinished =
            machine.orders().iter().filter(|(_, order)| order.progress == Progress::Sent);
        Self {
            id: standing.id,
            term: view.term(),
            read_at: Instant::now(),
            read_at_ms: unix_millis(),
            config: machine.config().clone(),
            roll_out: machine.roll_out().cloned(),
            limits: machine.limits().clone(),
            members: standing.members,
            holders: machine.active_holders(),
            unsettled: machine.unsettled(),
            order_lease: machine.order_lease().cloned(),
            orders: unfinished.map(|(fence, order)| (*fence, order.clone())).collect(),
        }
    }
}
