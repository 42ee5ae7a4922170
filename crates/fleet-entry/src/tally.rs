//! Request counts by service, version and route, for the decisions on roll-outs.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::roll_out::Tally;

/// Request counts since the start of this entry.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: HashMap<(Name, Name, Name), Tally>,
}

/// Verdict of a send on the endpoint's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint answered without a server error; the time to the end of the answer.
    Success(Duration),
    /// The endpoint answered with an error.
    Failure,
    /// The send failed for another reason, such as a lost connection.
    Neutral,
}

impl Tallies {
    fn tally_mut(&mut self, service: &Name, version: &Name, route: &Name) -> &mut Tally {
        let key = (service.clone(), version.clone(), route.clone());
        self.counts.entry(key).or_insert_with(|| Tally {
            service: service.clone(),
            version: version.clone(),
            route: route.clone(),
            ..Tally::default()
        })
    }

    /// Records the start of a send.
    pub fn record_send(&mut self, service: &Name, version: &Name, route: &Name) {
        let tally = self.tally_mut(service, version, route);
        tally.sent += 1;
        tally.outstanding += 1;
    }

    pub fn record_verdict(
        &mut self,
        service: &Name,
        version: &Name,
        route: &Name,
        verdict: Verdict,
    ) {
        let tally = self.tally_mut(service, version, route);
        match verdict {
            Verdict::Success(time) => {
                tally.succeeded += 1;
                tally.latency_sum_ms += u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            }
            Verdict::Failure => tally.failed += 1,
            Verdict::Neutral => {}
        }
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, service: &Name, version: &Name, route: &Name) {
        let tally = self.tally_mut(service, version, route);
        tally.outstanding = tally.outstanding.saturating_sub(1);
    }

    /// Returns the counts of some services.
    pub fn for_services(&self, services: &[Name]) -> Vec<Tally> {
        let wanted = self.counts.values().filter(|tally| services.contains(&tally.service));
        wanted.cloned().collect()
    }
}
