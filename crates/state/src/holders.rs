//! Lives of entries: which incarnations may still open records.

use std::collections::BTreeMap;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Entry;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Holder;

/// What is known about the lives of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Life {
    /// Newest incarnation; older ones open no more records.
    newest: u64,
    /// Incarnations up to this one have lapsed, and their records may be settled.
    lapsed: Option<u64>,
    /// Time of the newest command about this entry.
    seen_ms: u64,
}

/// Lives of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Holders {
    lives: BTreeMap<Entry, Life>,
}

impl Holders {
    /// Ends the holder and its earlier incarnations.
    pub(crate) fn lapse(&mut self, holder: &Holder, at_ms: u64) {
        let life = self.lives.entry(holder.entry.clone()).or_default();
        life.newest = life.newest.max(holder.incarnation);
        life.lapsed = life.lapsed.max(Some(holder.incarnation));
        life.seen_ms = life.seen_ms.max(at_ms);
    }

    pub(crate) fn has_lapsed(&self, holder: &Holder) -> bool {
        let lapsed = self.lives.get(&holder.entry).and_then(|life| life.lapsed);
        lapsed.is_some_and(|lapsed| holder.incarnation <= lapsed)
    }

    /// Refuses a holder that has lapsed or that is older than another life of its entry.
    pub(crate) fn check(&self, holder: &Holder) -> error::Result<()> {
        let newest = self.lives.get(&holder.entry).map_or(0, |life| life.newest);
        if holder.incarnation < newest || self.has_lapsed(holder) {
            let message =
                format!("incarnation {} of entry {} has ended", holder.incarnation, holder.entry);
            return Err(Error::new(Kind::NoLease, message));
        }
        Ok(())
    }

    /// Notes that the holder opened a record. Returns it with its name shared between records.
    pub(crate) fn note(&mut self, holder: &Holder, at_ms: u64) -> Holder {
        if !self.lives.contains_key(&holder.entry) {
            self.lives.insert(holder.entry.clone(), Life::default());
        }
        let entry = match self.lives.get_key_value(&holder.entry) {
            Some((known, _)) => known.clone(),
            None => holder.entry.clone(),
        };
        if let Some(life) = self.lives.get_mut(&entry) {
            life.newest = life.newest.max(holder.incarnation);
            life.seen_ms = life.seen_ms.max(at_ms);
        }
        Holder { entry, incarnation: holder.incarnation }
    }

    /// Forgets lapsed entries that were last seen before `before_ms` and hold no open record.
    /// Their commands can't arrive any more: a request that old is refused as too old.
    pub(crate) fn prune(&mut self, before_ms: u64, holds: impl Fn(&Entry) -> bool) {
        self.lives.retain(|entry, life| {
            let lapsed = life.lapsed >= Some(life.newest);
            !lapsed || life.seen_ms >= before_ms || holds(entry)
        });
    }
}
