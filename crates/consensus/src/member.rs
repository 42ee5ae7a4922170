//! Cluster membership.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::ReplicaId;

/// One replica of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: ReplicaId,
    /// Address at which the replica receives messages. This crate does not interpret it.
    pub address: Arc<str>,
    /// Whether the replica votes and counts toward quorums. Other members are learners, which only
    /// receive the log.
    pub voter: bool,
}

/// Members of the cluster, ordered by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(Arc<[Member]>);

impl FromIterator<Member> for Members {
    fn from_iter<I: IntoIterator<Item = Member>>(members: I) -> Self {
        let mut list: SmallVec<[Member; 5]> = members.into_iter().collect();
        list.sort_by_key(|member| member.id);
        Self(list.into_iter().collect())
    }
}

impl Members {
    /// All members, voters and learners, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// Number of members, learners included.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|member| member.id == id)
    }

    /// Whether `id` belongs to a voter. False if there is no such member.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `ids` includes a quorum of voters.
    pub fn has_quorum(&self, ids: &[ReplicaId]) -> bool {
        !self.is_empty() && self.voters().filter(|id| ids.contains(id)).count() >= self.quorum()
    }

    /// The largest value that a quorum of voters has reached. `None` if there are no voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: SmallVec<[T; 5]> = self.voters().map(value).collect();
        values.sort_by(|left, right| right.cmp(left));
        let position = self.quorum() - 1;
        (position < values.len()).then(|| values.swap_remove(position))
    }

    /// Returns the members with `member` added. It replaces the member with the same id.
    pub fn with(&self, member: Member) -> Self {
        self.0
            .iter()
            .filter(|other| other.id != member.id)
            .cloned()
            .chain([member.clone()])
            .collect()
    }

    /// Returns the members without `id`.
    pub fn without(&self, id: ReplicaId) -> Self {
        self.0.iter().filter(|member| member.id != id).cloned().collect()
    }
}
