//! Which incarnations of each entry may still open records.

use std::collections::BTreeMap;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Entry;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Holder;

/// Incarnations of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Incarnations {
    /// Newest incarnation seen; older ones may not open records.
    newest: u64,
    /// This incarnation and all earlier ones have lapsed; their records may be settled.
    lapsed: Option<u64>,
    /// Time of the newest command about this entry, in milliseconds since the Unix epoch.
    seen_ms: u64,
}

/// Incarnations of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Holders {
    #[serde(rename = "lives")]
    by_entry: BTreeMap<Entry, Incarnations>,
}

impl Holders {
    /// Ends the holder and all earlier incarnations of its entry.
    pub(crate) fn lapse(&mut self, holder: &Holder, at_ms: u64) {
        let incarnations = self.by_entry.entry(holder.entry.clone()).or_default();
        incarnations.newest = incarnations.newest.max(holder.incarnation);
        incarnations.lapsed = incarnations.lapsed.max(Some(holder.incarnation));
        incarnations.seen_ms = incarnations.seen_ms.max(at_ms);
    }

    pub(crate) fn has_lapsed(&self, holder: &Holder) -> bool {
        let lapsed = self.by_entry.get(&holder.entry).and_then(|incarnations| incarnations.lapsed);
        lapsed.is_some_and(|lapsed| holder.incarnation <= lapsed)
    }

    /// Refuses a holder that has lapsed or that is not the newest incarnation of its entry.
    pub(crate) fn check_current(&self, holder: &Holder) -> error::Result<()> {
        let newest = self.by_entry.get(&holder.entry).map_or(0, |incarnations| incarnations.newest);
        if holder.incarnation < newest || self.has_lapsed(holder) {
            let message =
                format!("incarnation {} of entry {} has ended", holder.incarnation, holder.entry);
            return Err(Error::new(Kind::NoLease, message));
        }
        Ok(())
    }

    /// Registers that the holder opened a record. Returns the holder with its entry name shared
    /// between records, to save memory.
    pub(crate) fn register_open(&mut self, holder: &Holder, at_ms: u64) -> Holder {
        if !self.by_entry.contains_key(&holder.entry) {
            self.by_entry.insert(holder.entry.clone(), Incarnations::default());
        }
        let entry = match self.by_entry.get_key_value(&holder.entry) {
            Some((shared, _)) => shared.clone(),
            None => holder.entry.clone(),
        };
        if let Some(incarnations) = self.by_entry.get_mut(&entry) {
            incarnations.newest = incarnations.newest.max(holder.incarnation);
            incarnations.seen_ms = incarnations.seen_ms.max(at_ms);
        }
        Holder { entry, incarnation: holder.incarnation }
    }

    /// Removes lapsed entries that were last seen before `before_ms` and hold no open record.
    /// Such an entry's lapse need not be remembered: a request that old is refused as too old.
    pub(crate) fn prune(&mut self, before_ms: u64, has_open_record: impl Fn(&Entry) -> bool) {
        self.by_entry.retain(|entry, incarnations| {
            let lapsed = incarnations.lapsed >= Some(incarnations.newest);
            !lapsed || incarnations.seen_ms >= before_ms || has_open_record(entry)
        });
    }
}
