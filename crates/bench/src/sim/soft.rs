//! Delivery of soft state (load reports, cache events, ratings and digests), and fault injection.

use std::time::Duration;

use rand::RngExt;

use crate::fault::Fault;
use crate::setup::ENTRIES;
use crate::setup::REGION_LATENCY;
use crate::sim::ANNOUNCE_TIMEOUT;
use crate::sim::ByModel;
use crate::sim::Digest;
use crate::sim::EXPIRY_CHECK_INTERVAL;
use crate::sim::Event;
use crate::sim::REPORT_INTERVAL;
use crate::sim::RunState;
use crate::sim::Sim;

impl Sim {
    pub(super) fn on_cache_event(&mut self, engine: usize, request: usize) {
        for (hash, _) in self.requests[request].prefixes.clone() {
            for entry in &mut self.entries {
                entry.view.on_cache_event(&self.endpoint_names[engine], hash, true);
            }
        }
    }

    pub(super) fn on_rating(&mut self, run: usize) {
        let RunState { ref job, engine, .. } = self.runs[run];
        let request = &self.requests[job.request];
        let model_index = usize::from(self.pool_of[engine] > 0);
        let (accepted, good) = (request.accepted[model_index], request.good[model_index]);
        for entry in &mut self.entries {
            entry.planner.on_rating(&request.task, &job.model, accepted, good);
        }
    }

    pub(super) fn on_report(&mut self, engine: usize) {
        self.schedule(REPORT_INTERVAL, Event::Report(engine));
        let simulated = &self.engines[engine];
        let (delay, loss) = self.report_faults;
        if !simulated.up || simulated.silent || self.environment_rng.random_bool(loss) {
            return;
        }
        self.reports.insert((engine, self.now), simulated.report());
        self.schedule(delay + REGION_LATENCY * 2, Event::DeliverReport(engine, self.now));
    }

    pub(super) fn on_report_delivered(&mut self, engine: usize, measured_at: Duration) {
        let Some(report) = self.reports.remove(&(engine, measured_at)) else { return };
        for entry in 0..ENTRIES {
            if !self.connected(entry, engine) {
                continue;
            }
            if self.entries[entry].view.get(&self.endpoint_names[engine]).is_none() {
                self.announce(entry, engine);
            }
            let view = &mut self.entries[entry].view;
            view.on_report(
                &self.endpoint_names[engine],
                report,
                measured_at,
                self.now,
                &mut self.policy_rng,
            );
            self.record_ejection(entry, engine);
            self.dispatch(entry);
        }
    }

    pub(super) fn on_announcement_timeout(&mut self, engine: usize) {
        if !self.engines[engine].up {
            for entry in &mut self.entries {
                entry.view.remove(&self.endpoint_names[engine]);
            }
        }
    }

    pub(super) fn on_digest(&mut self) {
        self.schedule(REPORT_INTERVAL, Event::Digest);
        if self.digest_lost {
            return;
        }
        let demands: Vec<_> = self.entries.iter().map(|entry| entry.demand(self.now)).collect();
        let digests = (0..ENTRIES)
            .map(|entry| (demands[entry].clone(), self.total_demand(entry, &demands)))
            .collect();
        let previous: Vec<Digest> = std::mem::replace(&mut self.pending_digest, digests);
        for (entry, (own, total)) in self.entries.iter_mut().zip(&previous) {
            entry.on_digest(own, total);
        }
    }

    /// Returns the demand of all entries that `entry` can reach.
    fn total_demand(&self, entry: usize, demands: &[ByModel]) -> ByModel {
        let mut total = ByModel::new();
        let reachable = (0..ENTRIES).filter(|other| self.connected(*other, entry % 3));
        for (model, demand) in reachable.flat_map(|other| &demands[other]) {
            let sum = total.entry(model.clone()).or_default();
            for (key, amount) in demand {
                *sum.entry(key.clone()).or_default() += amount;
            }
        }
        total
    }

    pub(super) fn on_expiry_check(&mut self) {
        self.schedule(EXPIRY_CHECK_INTERVAL, Event::ExpiryCheck);
        for entry in 0..ENTRIES {
            let expired = self.entries[entry].expire(self.now);
            self.refuse(expired);
            self.dispatch(entry);
        }
    }

    pub(super) fn on_fault(&mut self, index: usize) {
        match self.setup.faults[index].1.clone() {
            Fault::Down(engines) => engines.into_iter().for_each(|engine| self.crash(engine)),
            Fault::Up(engines) => {
                for engine in engines {
                    self.engines[engine].up = true;
                }
            }
            Fault::Speed(engine, speed) => self.engines[engine].speed = speed,
            Fault::Silent(engine, silent) => {
                self.engines[engine].silent = silent;
                self.engines[engine].stepping = false;
                self.epochs[engine] += 1;
                self.start_step(engine);
            }
            Fault::Partition(region, is_partitioned) => self.partitioned[region] = is_partitioned,
            Fault::Reports { delay, loss } => self.report_faults = (delay, loss),
            Fault::DigestLost(lost) => self.digest_lost = lost,
        }
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].up = false;
        self.engines[engine].stepping = false;
        self.epochs[engine] += 1;
        for run in self.engines[engine].crash() {
            if !self.connected(self.runs[run].entry, engine) {
                continue;
            }
            let latency = self.latency(self.runs[run].entry, engine);
            self.schedule(latency, Event::RunFailed(run));
        }
        self.schedule(ANNOUNCE_TIMEOUT, Event::RemoveEndpoint(engine));
    }
}
