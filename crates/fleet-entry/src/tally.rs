//! Counts of each route at each version, for the verdict on roll-outs.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::roll_out::Tally;

/// Running totals since the start of this entry.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: HashMap<(Name, Name, Name), Tally>,
}

/// How a request ended at an endpoint, as far as its version is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A good answer; the time to its first part.
    Good(Duration),
    /// The endpoint answered with a failure of its own.
    Bad,
    /// Something else went wrong, such as a lost connection.
    Neutral,
}

impl Tallies {
    fn of(&mut self, service: &Name, version: &Name, route: &Name) -> &mut Tally {
        let key = (service.clone(), version.clone(), route.clone());
        self.counts.entry(key).or_insert_with(|| Tally {
            service: service.clone(),
            version: version.clone(),
            route: route.clone(),
            ..Tally::default()
        })
    }

    /// Notes a send.
    pub fn sent(&mut self, service: &Name, version: &Name, route: &Name) {
        let tally = self.of(service, version, route);
        tally.sent += 1;
        tally.outstanding += 1;
    }

    /// Notes the verdict on a send.
    pub fn judged(&mut self, service: &Name, version: &Name, route: &Name, end: End) {
        let tally = self.of(service, version, route);
        match end {
            End::Good(time) => {
                tally.succeeded += 1;
                tally.latency_sum_ms += u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            }
            End::Bad => tally.failed += 1,
            End::Neutral => {}
        }
    }

    /// Notes that a send is over.
    pub fn closed(&mut self, service: &Name, version: &Name, route: &Name) {
        let tally = self.of(service, version, route);
        tally.outstanding = tally.outstanding.saturating_sub(1);
    }

    /// The counts of some services.
    pub fn of_services(&self, services: &[Name]) -> Vec<Tally> {
        let wanted = self.counts.values().filter(|one| services.contains(&one.service));
        wanted.cloned().collect()
    }
}
