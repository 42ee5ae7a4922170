//! Member changes, one at a time.
//!
//! Two member sets that differ by one voter have overlapping quorums, so a set is in force as soon
//! as it is in the log. The next change waits for the commit of the previous one, and of an entry
//! of the own term, which rules out a change that an earlier leader left behind.

use crate::Entry;
use crate::Member;
use crate::Members;
use crate::Payload;
use crate::ReplicaId;

use super::MemberChange;
use super::Outcome;
use super::Refusal;
use super::Replica;
use super::State;

impl Replica {
    pub(super) fn change(&mut self, token: u64, change: MemberChange) {
        let Some(leader) = self.active_leader() else { return self.not_leader(token) };
        let noop = leader.noop;
        match self.changed_members(noop, change) {
            Ok(members) => self.append_change(token, members),
            Err(refusal) => self.reply(token, Outcome::Refused(refusal)),
        }
    }

    fn append_change(&mut self, token: u64, members: Members) {
        let (index, term) = (self.log.last().index + 1, self.term);
        if let Some(leader) = self.active_leader() {
            leader.tokens.push_back((index, token));
        }
        self.append_entry(Entry { index, term, payload: Payload::Members(members) });
    }

    fn changed_members(&self, noop: u64, change: MemberChange) -> Result<Members, Refusal> {
        let (changed_at, members) = self.log.members();
        if self.disk_full {
            return Err(Refusal::DiskFull);
        }
        if noop.max(changed_at) > self.commit {
            return Err(Refusal::ChangePending);
        }
        match change {
            MemberChange::AddLearner { id, address } => {
                if address.len() > self.settings.max_address_bytes {
                    return Err(Refusal::TooLarge);
                }
                if members.get(id).is_some() || members.len() >= self.settings.max_members {
                    return Err(Refusal::CannotAdd);
                }
                Ok(members.with(Member { id, address, voter: false }))
            }
            MemberChange::Promote { id } => {
                let member = members.get(id).filter(|member| !member.voter);
                let member = member.ok_or(Refusal::NoSuchMember)?;
                if !self.is_caught_up(id, noop.max(changed_at)) {
                    return Err(Refusal::NotCaughtUp);
                }
                Ok(members.with(Member { voter: true, ..member.clone() }))
            }
            MemberChange::Remove { id } => {
                members.get(id).ok_or(Refusal::NoSuchMember)?;
                let changed = members.without(id);
                if changed.voters().next().is_none() {
                    return Err(Refusal::LastVoter);
                }
                Ok(changed)
            }
        }
    }

    /// Whether the replica replied lately and has synced nearly the whole log, `needed` included.
    /// The lag alone would let a replica without any entry pass while the log is short.
    fn is_caught_up(&self, id: ReplicaId, needed: u64) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let Some(progress) = leader.progress.get(&id) else { return false };
        let heard = progress.heard.is_some_and(|at| self.now < at + self.settings.election_min);
        heard
            && progress.matched >= needed
            && progress.matched + self.settings.promote_lag_entries >= self.log.last().index
    }
}
