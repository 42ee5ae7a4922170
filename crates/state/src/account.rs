//! Records, pins and totals of one workspace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::limits::Limits;
use crate::record::Bill;
use crate::record::End;
use crate::record::Key;
use crate::record::Record;
use crate::record::StoredAnswer;
use crate::record::Totals;

/// A record and its position in the closing order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredRecord {
    record: Record,
    /// Key of the record in [`Account::closed`]; unused while the record is open.
    place: u64,
}

/// Element of [`Account::closed`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ClosedRecord {
    request: Request,
    /// When the record was closed, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The version that a session is pinned to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Pin {
    version: Version,
    /// Time of the last use, in milliseconds since the Unix epoch.
    used_ms: u64,
}

/// Records, pins and totals of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Account {
    records: BTreeMap<Request, StoredRecord>,
    /// Requests whose records are open.
    open: BTreeSet<Request>,
    /// Closed records in closing order, by [`StoredRecord::place`].
    closed: BTreeMap<u64, ClosedRecord>,
    next_place: u64,
    /// Newest request time of any pruned record. A request that is not newer may be a resend of a
    /// pruned one, so it is refused. This does not depend on the proposers' clocks.
    pub(crate) horizon_ms: u64,
    pins: BTreeMap<Session, Pin>,
    /// Pinned sessions with the time of their last use, oldest first.
    pins_by_use: BTreeSet<(u64, Session)>,
    pub(crate) totals: Totals,
}

impl Account {
    pub(crate) fn record(&self, request: &Request) -> Option<&Record> {
        self.records.get(request).map(|stored| &stored.record)
    }

    /// The record of `request` while it is open.
    pub(crate) fn open_record_mut(&mut self, request: &Request) -> Option<&mut Record> {
        let stored = self.records.get_mut(request)?;
        stored.record.end.is_none().then_some(&mut stored.record)
    }

    /// Open records, ordered by request id.
    pub(crate) fn open(&self) -> impl Iterator<Item = (&Request, &Record)> {
        self.open.iter().filter_map(|request| Some((request, self.record(request)?)))
    }

    /// Adds an open record. It replaces a closed record of the same request, if any.
    pub(crate) fn insert(&mut self, request: &Request, record: Record) {
        let stored = StoredRecord { record, place: 0 };
        if let Some(replaced) = self.records.insert(request.clone(), stored)
            && replaced.record.end.is_some()
        {
            self.closed.remove(&replaced.place);
        }
        self.open.insert(request.clone());
    }

    /// Closes an open record and adds it to the totals.
    pub(crate) fn close(
        &mut self,
        request: &Request,
        at_ms: u64,
        end: End,
        answer: Option<StoredAnswer>,
        runs_cost: f64,
    ) {
        let Some(stored) = self.records.get_mut(request) else { return };
        stored.record.end = Some(end);
        stored.record.answer = answer;
        stored.record.runs_cost += runs_cost;
        stored.place = self.next_place;
        self.next_place += 1;
        let request = self.open.take(request).unwrap_or_else(|| request.clone());
        self.closed.insert(stored.place, ClosedRecord { request, at_ms });
        self.totals.add(end, runs_cost);
    }

    pub(crate) fn bills(&self, workspace: &Workspace) -> impl Iterator<Item = Bill> {
        self.records.iter().filter_map(|(request, stored)| match stored.record.end {
            Some(End::Answered(usage)) => Some(Bill {
                key: Key { workspace: workspace.clone(), request: request.clone() },
                target: stored.record.target.clone(),
                usage,
                runs_cost: stored.record.runs_cost,
            }),
            _ => None,
        })
    }

    pub(crate) fn pin(&self, session: &Session) -> Option<&Version> {
        self.pins.get(session).map(|pin| &pin.version)
    }

    /// Pins `session` to `version` and updates the time of the pin's last use.
    pub(crate) fn set_pin(&mut self, session: &Session, version: &Version, at_ms: u64) {
        let mut used_ms = at_ms;
        if let Some(previous) = self.pins.get(session) {
            used_ms = used_ms.max(previous.used_ms);
            self.pins_by_use.remove(&(previous.used_ms, session.clone()));
        }
        self.pins_by_use.insert((used_ms, session.clone()));
        self.pins.insert(session.clone(), Pin { version: version.clone(), used_ms });
    }

    /// Drops closed records and pins beyond the limits.
    pub(crate) fn prune(&mut self, limits: &Limits, at_ms: u64) {
        self.prune_records(limits.records as usize, at_ms.saturating_sub(limits.record_age_ms));
        self.prune_pins(limits.pins as usize, at_ms.saturating_sub(limits.pin_age_ms));
    }

    fn prune_records(&mut self, max_count: usize, before_ms: u64) {
        while let Some(oldest) = self.closed.first_entry() {
            if self.records.len() - self.open.len() <= max_count && oldest.get().at_ms >= before_ms
            {
                return;
            }
            let closed = oldest.remove();
            if let Some(stored) = self.records.remove(&closed.request) {
                self.horizon_ms = self.horizon_ms.max(stored.record.request_ms);
            }
        }
    }

    fn prune_pins(&mut self, max_count: usize, before_ms: u64) {
        while let Some((used_ms, _)) = self.pins_by_use.first() {
            if self.pins.len() <= max_count && *used_ms >= before_ms {
                return;
            }
            if let Some((_, session)) = self.pins_by_use.pop_first() {
                self.pins.remove(&session);
            }
        }
    }
}

impl Totals {
    fn add(&mut self, end: End, runs_cost: f64) {
        self.runs_cost += runs_cost;
        match end {
            End::Answered(usage) => {
                self.billed += 1;
                self.prompt_tokens += u64::from(usage.prompt_tokens);
                self.completion_tokens += u64::from(usage.completion_tokens);
                self.cost += usage.cost;
            }
            End::NotRun => self.not_run += 1,
            End::Unknown => self.unknown += 1,
        }
    }
}
