//! Endpoints that have left for good, so that late announcements don't bring them back.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::endpoint::Announcement;

/// Maximum number of endpoints whose departure is remembered. The earliest ones are forgotten first,
/// so that ids that a caller makes up take a bounded amount of memory.
const MAX_DEPARTURES: usize = 4_096;

/// The departure of one incarnation of an endpoint, and with it of all earlier ones with its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the endpoint.
    pub id: Name,
    pub incarnation: u64,
    pub kind: Kind,
}

/// How an endpoint departed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It accepts no new requests since the announcement with this sequence number.
    Draining(u64),
    /// It has deregistered.
    Gone,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Latest {
    /// Latest incarnation that has deregistered.
    gone: Option<u64>,
    /// Incarnation that drains, and the sequence number of the announcement that said so first.
    draining: Option<(u64, u64)>,
    /// Number under which it was recorded.
    number: u64,
}

impl Latest {
    fn is_gone(&self, incarnation: u64) -> bool {
        self.gone.is_some_and(|gone| incarnation <= gone)
    }

    fn includes(&self, departure: &Departure) -> bool {
        let is_draining =
            self.draining.is_some_and(|(draining, _)| draining == departure.incarnation);
        self.is_gone(departure.incarnation)
            || (is_draining && matches!(departure.kind, Kind::Draining(_)))
    }
}

/// Latest departures, by id and in the order in which they were recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Departures {
    latest: BTreeMap<Name, Latest>,
    by_number: BTreeMap<u64, Name>,
}

impl Departures {
    /// Records a departure under a number that is higher than all earlier ones. Returns whether it
    /// tells something new.
    pub fn record(&mut self, departure: &Departure, number: u64) -> bool {
        if self.includes(departure) {
            return false;
        }
        let latest = self.latest.entry(departure.id.clone()).or_default();
        match departure.kind {
            Kind::Draining(sequence) => latest.draining = Some((departure.incarnation, sequence)),
            Kind::Gone => latest.gone = Some(departure.incarnation),
        }
        self.by_number.remove(&std::mem::replace(&mut latest.number, number));
        self.by_number.insert(number, departure.id.clone());
        while self.latest.len() > MAX_DEPARTURES
            && let Some((_, earliest)) = self.by_number.pop_first()
        {
            self.latest.remove(&earliest);
        }
        true
    }

    /// Whether this departure is recorded, or the end of this incarnation.
    pub fn includes(&self, departure: &Departure) -> bool {
        self.latest.get(&departure.id).is_some_and(|latest| latest.includes(departure))
    }

    /// Whether the incarnation of an announcement, or a later one, has deregistered.
    pub fn is_gone(&self, announcement: &Announcement) -> bool {
        let latest = self.latest.get(&announcement.id);
        latest.is_some_and(|latest| latest.is_gone(announcement.incarnation))
    }

    /// Whether the incarnation of an announcement had begun to drain when it was sent.
    pub fn is_draining(&self, announcement: &Announcement) -> bool {
        let draining = self.latest.get(&announcement.id).and_then(|latest| latest.draining);
        draining.is_some_and(|(incarnation, since)| {
            announcement.incarnation == incarnation && announcement.sequence <= since
        })
    }

    /// Highest number under which a departure is recorded.
    pub fn last_number(&self) -> u64 {
        self.by_number.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Returns the departures of the endpoints that were recorded after this number.
    pub fn since(&self, number: u64) -> impl Iterator<Item = Departure> + '_ {
        let later = self.by_number.range(number.saturating_add(1)..);
        later.filter_map(|(_, id)| Some((id, self.latest.get(id)?))).flat_map(|(id, latest)| {
            let departure = |incarnation, kind| Departure { id: id.clone(), incarnation, kind };
            let gone = latest.gone.map(|incarnation| departure(incarnation, Kind::Gone));
            let draining = latest
                .draining
                .map(|(incarnation, sequence)| departure(incarnation, Kind::Draining(sequence)));
            gone.into_iter().chain(draining)
        })
    }
}
