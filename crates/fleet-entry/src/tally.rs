//! Request counts by service, version and route, for the decisions on roll-outs.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet::roll_out::Tally;
use hickoryreel_fleet::roll_out::Timing;
use smallvec::SmallVec;

/// Minimum number of gaps between the events of a stream from which their mean counts.
const MIN_GAPS: u64 = 2;

/// Verdict of a send on the endpoint's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint answered without a server error.
    Success,
    /// The endpoint answered with an error.
    Failure,
    /// The send failed for another reason, such as a lost connection.
    Neutral,
}

/// Service, version and route of a send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    pub service: Name,
    pub version: Name,
    pub route: Name,
}

/// Times of one send.
#[derive(Debug)]
pub struct Watch {
    began: Duration,
    /// Time to the first event, or to the end of an answer without events.
    first: Cell<Option<Duration>>,
    /// Start of the wait for the next event, while the entry waits.
    waiting_since: Cell<Option<Duration>>,
    /// Total time of the waits for the events after the first one.
    waited: Cell<Duration>,
    /// Number of events after the first one.
    gaps: Cell<u64>,
}

impl Watch {
    fn new(began: Duration) -> Self {
        Self {
            began,
            first: Cell::new(None),
            waiting_since: Cell::new(None),
            waited: Cell::new(Duration::ZERO),
            gaps: Cell::new(0),
        }
    }

    /// Records the first event, or the end of an answer without events.
    pub fn record_first(&self, now: Duration) {
        if self.first.get().is_none() {
            self.first.set(Some(now.saturating_sub(self.began)));
        }
    }

    /// Begins the wait for the next event, unless it has begun. The time that a slow client takes is
    /// not counted.
    pub fn begin_wait(&self, now: Duration) {
        self.waiting_since.set(self.waiting_since.get().or(Some(now)));
    }

    /// Excludes a time from the wait, in which the endpoint could not send.
    pub fn exclude(&self, time: Duration) {
        self.waiting_since.set(self.waiting_since.get().map(|since| since + time));
    }

    /// Ends the wait with some new events.
    pub fn record_events(&self, now: Duration, events: u64) {
        let since = self.waiting_since.take().unwrap_or(now);
        if self.first.get().is_none() {
            self.record_first(now);
            self.gaps.set(events.saturating_sub(1));
        } else {
            self.waited.set(self.waited.get() + now.saturating_sub(since));
            self.gaps.set(self.gaps.get() + events);
        }
    }

    /// Adds the times so far.
    fn add_to(&self, first: &mut Timing, gap: &mut Timing, now: Duration) {
        let Some(time) = self.first.get() else {
            first.at_least.record(now.saturating_sub(self.began));
            return;
        };
        first.measured.record(time);
        let pause = self.waiting_since.get().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let gaps = self.gaps.get();
        if gaps >= MIN_GAPS {
            let mean = self.waited.get() / u32::try_from(gaps).unwrap_or(u32::MAX);
            // A stream that stalls is not as fast as it was before.
            gap.measured.record(mean.max(pause));
        } else if !pause.is_zero() {
            gap.at_least.record(pause);
        }
    }
}

/// Counts of one key.
#[derive(Debug, Default)]
struct Count {
    succeeded: u64,
    failed: u64,
    failed_at: SmallVec<[(EndpointKey, u32); 4]>,
    first: Timing,
    gap: Timing,
    /// Sends that have not ended.
    open: Vec<Rc<Watch>>,
}

/// Trial of a roll-out.
#[derive(Clone, Debug)]
struct Trial {
    serial: u64,
    /// When this entry learned of it.
    since: Duration,
    /// New version.
    target: Name,
    /// When this entry learned that all new requests go to the new version.
    moving_since: Option<Duration>,
}

impl Trial {
    /// Moment from which the sends to a version count.
    fn counts_from(&self, version: &str) -> Duration {
        let moving_since = self.moving_since.filter(|_| *self.target == *version);
        moving_since.unwrap_or(self.since)
    }
}

/// Request counts since the start of this entry, and for services with a roll-out since this entry
/// learned of its trial. Those of the new version restart once all new requests go to it.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: HashMap<Key, Count>,
    trials: HashMap<Name, Trial>,
}

impl Tallies {
    /// Restarts the counts of the services whose trial is new to this entry, so that both versions
    /// are compared over the same time, and those of a new version to which all new requests go now,
    /// so that its sends from the trial do not hide what it does under the whole load.
    pub fn track(&mut self, roll_outs: &RollOuts, now: Duration) {
        let tested = |phase| matches!(phase, Phase::Trial | Phase::Moving);
        for roll_out in roll_outs.newest.iter().filter(|roll_out| tested(roll_out.phase)) {
            let moving_since = (roll_out.phase == Phase::Moving).then_some(now);
            let known = self.trials.get_mut(&roll_out.service);
            let known = known.filter(|trial| trial.serial == roll_out.serial);
            if let Some(trial) = known {
                if trial.moving_since.is_none() && moving_since.is_some() {
                    trial.moving_since = moving_since;
                    self.restart(|key| {
                        key.service == roll_out.service && key.version == roll_out.target
                    });
                }
                continue;
            }
            let (serial, target) = (roll_out.serial, roll_out.target.clone());
            let trial = Trial { serial, since: now, target, moving_since };
            self.trials.insert(roll_out.service.clone(), trial);
            self.restart(|key| key.service == roll_out.service);
        }
    }

    /// Restarts some counts. Open sends are kept.
    fn restart(&mut self, concerns: impl Fn(&Key) -> bool) {
        self.counts.retain(|key, count| {
            if !concerns(key) {
                return true;
            }
            *count = Count { open: std::mem::take(&mut count.open), ..Count::default() };
            !count.open.is_empty()
        });
    }

    /// Whether a send began in the time that is compared.
    fn counts(&self, key: &Key, watch: &Watch) -> bool {
        let trial = self.trials.get(&key.service);
        trial.is_none_or(|trial| watch.began >= trial.counts_from(&key.version))
    }

    /// Records the start of a send.
    pub fn record_send(&mut self, key: &Key, now: Duration) -> Rc<Watch> {
        let watch = Rc::new(Watch::new(now));
        self.counts.entry(key.clone()).or_default().open.push(Rc::clone(&watch));
        watch
    }

    /// Records the verdict of a send to an endpoint.
    pub fn record_verdict(
        &mut self,
        key: &Key,
        endpoint: EndpointKey,
        watch: &Watch,
        verdict: Verdict,
    ) {
        if !self.counts(key, watch) {
            return;
        }
        let count = self.counts.entry(key.clone()).or_default();
        match verdict {
            Verdict::Success => count.succeeded += 1,
            Verdict::Failure => {
                count.failed += 1;
                match count.failed_at.iter_mut().find(|(other, _)| *other == endpoint) {
                    Some((_, failed)) => *failed += 1,
                    None => count.failed_at.push((endpoint, 1)),
                }
            }
            Verdict::Neutral => {}
        }
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, key: &Key, watch: &Rc<Watch>, now: Duration) {
        let counts = self.counts(key, watch);
        let count = self.counts.entry(key.clone()).or_default();
        count.open.retain(|open| !Rc::ptr_eq(open, watch));
        if counts {
            watch.add_to(&mut count.first, &mut count.gap, now);
        }
    }

    /// Returns the counts of some services.
    pub fn for_services(&self, services: &[Name], now: Duration) -> Vec<Tally> {
        let wanted = self.counts.iter().filter(|(key, _)| services.contains(&key.service));
        wanted.map(|(key, count)| self.tally(key, count, now)).collect()
    }

    fn tally(&self, key: &Key, count: &Count, now: Duration) -> Tally {
        let (mut first, mut gap) = (count.first.clone(), count.gap.clone());
        for watch in count.open.iter().filter(|watch| self.counts(key, watch)) {
            watch.add_to(&mut first, &mut gap, now);
        }
        Tally {
            service: key.service.clone(),
            version: key.version.clone(),
            route: key.route.clone(),
            serial: self.trials.get(&key.service).map_or(0, |trial| trial.serial),
            succeeded: count.succeeded,
            failed: count.failed,
            failed_at: count.failed_at.to_vec(),
            first,
            gap,
            outstanding: count.open.len() as u64,
        }
    }
}
