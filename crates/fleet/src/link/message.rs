//! Messages between processes.

use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::configuration::Configuration;
use crate::endpoint::Announcement;
use crate::endpoint::Sighting;
use crate::roll_out::RollOuts;
use crate::roll_out::Tally;
use crate::work::Post;
use crate::work::Work;

/// What a process asks of a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Messages of the replicated log.
    Log(Identity, Vec<Message>),
    /// Adds the sender to the members.
    Join(Identity),
    /// Announcements that another replica received.
    Announced(Vec<Announcement>),
    /// An endpoint that another replica saw leave.
    Left(Name, u64),
    /// A command for the log, relayed by a replica that does not lead.
    Propose(Vec<u8>),
    /// The index that a read must observe.
    ReadIndex,
    /// An entry's long poll.
    Follow(Box<Follow>),
    /// An entry's work at endpoints.
    Post(Box<Post>),
}

/// A replica and the address of its links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Identity of its log.
    pub id: ReplicaId,
    /// Address of its links.
    pub address: Name,
}

/// Position in the changes of one replica's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Random number of the replica's process.
    pub epoch: u64,
    /// Newest change that the entry has.
    pub change: u64,
}

/// An entry's long poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// Name of the entry.
    pub entry: Name,
    /// Random number of the entry's process.
    pub incarnation: u64,
    /// Number of the configuration that the entry has.
    pub configuration: u64,
    /// Revision of the roll-outs that the entry has.
    pub revision: u64,
    /// Position in the replica's directory.
    pub cursor: Cursor,
    /// Longest time until the answer if nothing changes, in milliseconds.
    pub wait_ms: u64,
    /// Counts of the versions under roll-out.
    pub tallies: Vec<Tally>,
}

/// Agreed state as of a moment after the request arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Number of the newest configuration; 0 if there is none.
    pub number: u64,
    /// Revision of the roll-outs.
    pub revision: u64,
    /// Roll-outs, if the entry has an older revision.
    pub roll_outs: Option<RollOuts>,
    /// The newest configuration, if the entry has an older one.
    pub configuration: Option<Box<Configuration>>,
}

/// Answer to a long poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Agreed state, if a quorum confirmed it.
    pub confirmed: Option<Confirmed>,
    /// New position in the replica's directory.
    pub cursor: Cursor,
    /// Changes of the directory since the position of the poll.
    pub sightings: Vec<Sighting>,
    /// Addresses of the links of all replicas.
    pub replicas: Vec<Name>,
    /// Entries that follow this replica.
    pub entries: u32,
}

/// Answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Done.
    Done,
    /// Not done; nothing was changed.
    Refused,
    /// The outcome is unknown.
    Unknown,
    /// The index that a read must observe.
    Index(u64),
    /// Answer to a long poll.
    News(Box<News>),
    /// The work of all entries at endpoints.
    Sums(Vec<Work>),
}
