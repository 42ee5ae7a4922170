//! Soft state and faults: reports, cache events, ratings, digests, and what goes wrong.

use std::time::Duration;

use rand::RngExt;

use crate::fault::Fault;
use crate::setup::ENTRIES;
use crate::setup::REGIONS;
use crate::sim::ANNOUNCE_TIMEOUT;
use crate::sim::ByModel;
use crate::sim::Digest;
use crate::sim::Event;
use crate::sim::REPORT_EVERY;
use crate::sim::RunState;
use crate::sim::Sim;
use crate::sim::TICK;

impl Sim {
    pub(super) fn on_cache_event(&mut self, engine: usize, request: usize) {
        for (hash, _) in self.requests[request].prefixes.clone() {
            for entry in &mut self.entries {
                entry.view.on_cache_event(&self.names[engine], hash, true);
            }
        }
    }

    pub(super) fn on_rating(&mut self, run: usize) {
        let RunState { ref job, engine, .. } = self.runs[run];
        let request = &self.requests[job.request];
        let large = usize::from(self.pool_of[engine] > 0);
        let (accepted, good) = (request.accepted[large], request.good[large]);
        for entry in &mut self.entries {
            entry.planner.on_rating(&request.task, &job.model, accepted, good);
        }
    }

    pub(super) fn on_report(&mut self, engine: usize) {
        self.schedule(REPORT_EVERY, Event::Report(engine));
        let fake = &self.engines[engine];
        let (late, lost) = self.late;
        if !fake.up || fake.silent || self.world.random_bool(lost) {
            return;
        }
        self.reports.insert((engine, self.now), fake.report());
        self.schedule(late + REGIONS * 2, Event::Deliver(engine, self.now));
    }

    pub(super) fn on_deliver(&mut self, engine: usize, measured_at: Duration) {
        let Some(report) = self.reports.remove(&(engine, measured_at)) else { return };
        for entry in 0..ENTRIES {
            if !self.connected(entry, engine) {
                continue;
            }
            if self.entries[entry].view.get(&self.names[engine]).is_none() {
                self.announce(entry, engine);
            }
            let view = &mut self.entries[entry].view;
            view.on_report(&self.names[engine], report, measured_at, self.now, &mut self.policy);
            self.note_ejection(entry, engine);
            self.dispatch(entry);
        }
    }

    pub(super) fn on_forget(&mut self, engine: usize) {
        if !self.engines[engine].up {
            for entry in &mut self.entries {
                entry.view.remove(&self.names[engine]);
            }
        }
    }

    pub(super) fn on_digest(&mut self) {
        self.schedule(REPORT_EVERY, Event::Digest);
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

    /// Demand of the entries that `entry` can hear from.
    fn total_demand(&self, entry: usize, demands: &[ByModel]) -> ByModel {
        let mut total = ByModel::new();
        let heard = (0..ENTRIES).filter(|other| self.connected(*other, entry % 3));
        for (model, demand) in heard.flat_map(|other| &demands[other]) {
            let sum = total.entry(model.clone()).or_default();
            for (key, want) in demand {
                *sum.entry(key.clone()).or_default() += want;
            }
        }
        total
    }

    pub(super) fn on_tick(&mut self) {
        self.schedule(TICK, Event::Tick);
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
            Fault::Cut(region, cut) => self.cut[region] = cut,
            Fault::Reports { late, lost } => self.late = (late, lost),
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
            self.schedule(latency, Event::Broken(run));
        }
        self.schedule(ANNOUNCE_TIMEOUT, Event::Forget(engine));
    }
}
