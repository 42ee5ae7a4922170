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
use crate::record::Stored;
use crate::record::Totals;

/// A record and its place in the order of closing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Kept {
    record: Record,
    /// Place in [`Account::closed`]; unused while the record is open.
    place: u64,
}

/// A closed record in the order of closing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Closed {
    request: Request,
    at_ms: u64,
}

/// The version a session is pinned to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Pin {
    version: Version,
    used_ms: u64,
}

/// Records, pins and totals of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Account {
    records: BTreeMap<Request, Kept>,
    open: BTreeSet<Request>,
    closed: BTreeMap<u64, Closed>,
    next_place: u64,
    /// Newest request time of a pruned record. A request that is not newer may be a resend of a
    /// pruned one, so it is refused; this holds whatever the proposers' clocks say.
    pub(crate) horizon_ms: u64,
    pins: BTreeMap<Session, Pin>,
    pins_by_use: BTreeSet<(u64, Session)>,
    pub(crate) totals: Totals,
}

impl Account {
    pub(crate) fn record(&self, request: &Request) -> Option<&Record> {
        self.records.get(request).map(|kept| &kept.record)
    }

    /// The record of `request` while it is open.
    pub(crate) fn open_record(&mut self, request: &Request) -> Option<&mut Record> {
        let kept = self.records.get_mut(request)?;
        kept.record.end.is_none().then_some(&mut kept.record)
    }

    /// Open records in order of request id.
    pub(crate) fn open(&self) -> impl Iterator<Item = (&Request, &Record)> {
        self.open.iter().filter_map(|request| Some((request, self.record(request)?)))
    }

    /// Adds an open record in place of a closed one, if any.
    pub(crate) fn insert(&mut self, request: &Request, record: Record) {
        let kept = Kept { record, place: 0 };
        if let Some(before) = self.records.insert(request.clone(), kept)
            && before.record.end.is_some()
        {
            self.closed.remove(&before.place);
        }
        self.open.insert(request.clone());
    }

    /// Closes an open record and adds it to the totals.
    pub(crate) fn close(
        &mut self,
        request: &Request,
        at_ms: u64,
        end: End,
        answer: Option<Stored>,
        runs_cost: f64,
    ) {
        let Some(kept) = self.records.get_mut(request) else { return };
        kept.record.end = Some(end);
        kept.record.answer = answer;
        kept.record.runs_cost += runs_cost;
        kept.place = self.next_place;
        self.next_place += 1;
        let request = self.open.take(request).unwrap_or_else(|| request.clone());
        self.closed.insert(kept.place, Closed { request, at_ms });
        self.totals.add(end, runs_cost);
    }

    pub(crate) fn bills(&self, workspace: &Workspace) -> impl Iterator<Item = Bill> {
        self.records.iter().filter_map(|(request, kept)| match kept.record.end {
            Some(End::Answered(usage)) => Some(Bill {
                key: Key { workspace: workspace.clone(), request: request.clone() },
                target: kept.record.target.clone(),
                usage,
                runs_cost: kept.record.runs_cost,
            }),
            _ => None,
        })
    }

    pub(crate) fn pin(&self, session: &Session) -> Option<&Version> {
        self.pins.get(session).map(|pin| &pin.version)
    }

    /// Pins `session` to `version`, or notes that the pin was used.
    pub(crate) fn set_pin(&mut self, session: &Session, version: &Version, at_ms: u64) {
        let mut used_ms = at_ms;
        if let Some(before) = self.pins.get(session) {
            used_ms = used_ms.max(before.used_ms);
            self.pins_by_use.remove(&(before.used_ms, session.clone()));
        }
        self.pins_by_use.insert((used_ms, session.clone()));
        self.pins.insert(session.clone(), Pin { version: version.clone(), used_ms });
    }

    /// Drops closed records and pins beyond the limits.
    pub(crate) fn prune(&mut self, limits: &Limits, at_ms: u64) {
        self.prune_records(limits.records as usize, at_ms.saturating_sub(limits.record_age_ms));
        self.prune_pins(limits.pins as usize, at_ms.saturating_sub(limits.pin_age_ms));
    }

    fn prune_records(&mut self, max: usize, before_ms: u64) {
        while let Some(first) = self.closed.first_entry() {
            if self.records.len() - self.open.len() <= max && first.get().at_ms >= before_ms {
                return;
            }
            let closed = first.remove();
            if let Some(kept) = self.records.remove(&closed.request) {
                self.horizon_ms = self.horizon_ms.max(kept.record.request_ms);
            }
        }
    }

    fn prune_pins(&mut self, max: usize, before_ms: u64) {
        while let Some((used_ms, _)) = self.pins_by_use.first() {
            if self.pins.len() <= max && *used_ms >= before_ms {
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
