//! Requests and answers that processes exchange over links.

use std::collections::BTreeMap;
use std::time::Duration;

use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::configuration::Configuration;
use crate::departure::Departure;
use crate::endpoint::Announcement;
use crate::endpoint::EndpointUpdate;
use crate::explanation::Explanation;
use crate::explanation::Question;
use crate::load::EndpointKey;
use crate::load::Report;
use crate::load::Totals;
use crate::roll_out::RollOuts;
use crate::roll_out::Tally;

/// Request to a control replica, or to an entry ([`Self::Explain`] only).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Consensus messages from another replica.
    Log(Identity, Vec<Message>),
    /// Asks to add the sender to the members.
    Join(Identity),
    /// Announcements that another replica received from endpoints.
    Announced(Vec<Announcement>),
    /// An endpoint departed, as it told another replica.
    Departed(Departure),
    /// A command for the log, forwarded to the leader by another replica.
    Propose(Vec<u8>),
    /// Asks for the log index that a linearizable read must wait for.
    ReadIndex,
    Poll(Box<Poll>),
    /// Load report of an entry.
    ReportLoad(Box<Report>),
    /// A [`Request::Join`] that another replica forwards to the leader. It is not forwarded again,
    /// so replicas that take each other for the leader do not send it back and forth.
    ForwardedJoin(Identity),
    /// Asks for a request to one of some endpoints that warm up.
    AdmitCold(ColdRequest),
    /// A [`Request::AdmitCold`] that another replica forwards to the leader. It is not forwarded
    /// again.
    ForwardedAdmitCold(ColdRequest),
    /// Asks an entry where a request would go now.
    Explain(Box<Question>),
    /// Announces that the sender, a control replica, is about to stop.
    Leave(Identity),
}

/// Asks for permission to send one request to an endpoint that warms up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdRequest {
    pub service: Name,
    /// Endpoints that would do, the best first.
    pub endpoints: Vec<EndpointKey>,
}

/// Decision on a [`ColdRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColdDecision {
    /// One request may be sent to the endpoint at this index of the list.
    Admitted(u32),
    /// None of the endpoints has room; the time until one has.
    Wait(Duration),
}

/// A replica and the address of its links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    pub id: ReplicaId,
    /// Address of its links.
    pub address: Name,
}

/// Position in the sequence of changes of one replica's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Random number of the replica's process; a restart invalidates the position.
    pub epoch: u64,
    /// Number of the newest change that the entry has.
    pub change: u64,
}

/// Long poll of an entry for agreed state and updates of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Name of the entry.
    pub entry: Name,
    /// Random number of the entry's process.
    pub incarnation: u64,
    /// Number of the configuration that the entry has.
    pub configuration: u64,
    /// Whether the answer shall contain a newer configuration, and be sent as soon as there is one.
    /// Otherwise it only states the number.
    pub wants_configuration: bool,
    /// Revision of the roll-outs and evacuations that the entry has.
    pub revision: u64,
    /// Position in the replica's directory.
    pub cursor: Cursor,
    /// Time after which the replica answers if nothing changes.
    pub wait_ms: u64,
    /// Request counts of the services with a running roll-out.
    pub tallies: Vec<Tally>,
}

/// Agreed state, confirmed by a quorum after the request arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Number of the newest configuration; 0 if there is none.
    pub number: u64,
    /// Revision of the roll-outs, the versions in force and the evacuations.
    pub revision: u64,
    /// Present if the entry has an older revision.
    pub roll_outs: Option<RollOuts>,
    /// Version in force of each service that has one; present if the entry has an older revision.
    pub versions: Option<BTreeMap<Name, Name>>,
    /// Availability zones whose endpoints get no requests; present if the entry has an older
    /// revision.
    pub evacuated: Option<Vec<Name>>,
    /// The newest configuration; present if the entry has an older one and wants it.
    pub configuration: Option<Box<Configuration>>,
    /// Hashes of the keys that were removed since the entry's configuration; present with the newest
    /// one. See [`crate::former_keys`].
    pub former_keys: Vec<u64>,
}

/// Answer to a long poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollAnswer {
    /// `None` if no quorum confirmed the state in time.
    pub confirmed: Option<Confirmed>,
    /// New position in the replica's directory.
    pub cursor: Cursor,
    /// Updates of the directory since the position of the poll.
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// Departures of endpoints since the position of the poll, also of those that the replica has had
    /// no announcement of.
    pub departures: Vec<Departure>,
    /// Availability zone of the replica, unless the entry's position belongs to its process.
    pub zone: Option<Name>,
    /// Link addresses of all replicas.
    pub replicas: Vec<Name>,
    /// Number of entries that poll this replica.
    pub entries: u32,
}

/// Answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    Done,
    /// Refused without any effect.
    Refused,
    /// The request may or may not have taken effect.
    Unknown,
    /// The log index that a linearizable read must wait for.
    Index(u64),
    Poll(Box<PollAnswer>),
    /// Sums of the load reports of all entries.
    Totals(Totals),
    /// Decision of the leader on a request to an endpoint that warms up.
    Cold(ColdDecision),
    /// Where an entry would send a request.
    Explanation(Box<Explanation>),
}
