//! Input of the controllers.

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

/// The control state at the time of one linearizable read.
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Term in which this replica is the leader.
    pub term: u64,
    /// Time of the read.
    pub read_at: Instant,
    /// Wall-clock time of the read, in milliseconds since the Unix epoch.
    pub read_at_ms: u64,
    /// The configuration in force.
    pub config: Config,
    /// The roll-out in progress, if any.
    pub roll_out: Option<RollOut>,
    /// The limits on the replicated state that are in force.
    pub limits: Limits,
    pub members: Members,
    /// Holders with open records.
    pub holders: BTreeSet<Holder>,
    /// Open records of holders that have lapsed.
    pub unsettled: Vec<(Key, Record)>,
    /// The lease that entitles its holder to send orders.
    pub order_lease: Option<order::Lease>,
    /// Orders whose result is not known, by fencing token.
    pub unfinished_orders: BTreeMap<Fence, Order>,
}

impl Blackboard {
    pub(super) fn read(view: &View<'_>) -> Self {
        let machine = view.machine;
        let replica_status = view.status();
        let unfinished_orders =
            machine.orders().iter().filter(|(_, order)| order.progress == Progress::Sent);
        Self {
            id: replica_status.id,
            term: view.term(),
            read_at: Instant::now(),
            read_at_ms: unix_millis(),
            config: machine.config().clone(),
            roll_out: machine.roll_out().cloned(),
            limits: machine.limits().clone(),
            members: replica_status.members,
            holders: machine.active_holders(),
            unsettled: machine.unsettled(),
            order_lease: machine.order_lease().cloned(),
            unfinished_orders: unfinished_orders
                .map(|(fence, order)| (*fence, order.clone()))
                .collect(),
        }
    }
}
