//! Single-server membership changes.
//!
//! Quorums of two member sets that differ by one voter overlap, so a new set takes effect as soon
//! as it is in the log. A change is refused until the previous change is committed, and until the
//! leader has committed an entry of its own term: otherwise an uncommitted change of an earlier
//! leader could still be pending.

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
    pub(super) fn change_members(&mut self, token: u64, change: MemberChange) {
        let Some(leader) = self.active_leader() else { return self.reply_not_leader(token) };
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

    /// Whether the replica replied recently and has synced the log up to `needed` and up to the
    /// permitted lag. Without `needed`, a replica without any entry would pass while the log is
    /// short.
    fn is_caught_up(&self, id: ReplicaId, needed: u64) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let Some(progress) = leader.progress.get(&id) else { return false };
        let responsive =
            progress.heard_at.is_some_and(|at| self.now < at + self.settings.election_min);
        responsive
            && progress.matched >= needed
            && progress.matched + self.settings.promote_lag_entries >= self.log.last().index
    }
}
