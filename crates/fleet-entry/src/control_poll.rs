//! Long polls to the control replicas, with one loop for each replica.
//!
//! The entry polls all replicas concurrently, so that an update of an endpoint arrives from the
//! replica that acknowledged it even during a network partition between the replicas. New
//! configurations come from the one that [`crate::source`] chooses.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::Cursor;
use hickoryreel_fleet::link::Poll;
use hickoryreel_fleet::link::PollAnswer;
use hickoryreel_fleet::link::Request;
use slog::info;

use crate::directory::Change;
use crate::entry::Entry;
use crate::source::Sources;

/// Time after which a replica answers a poll if nothing changes. It bounds the age of the lease
/// while a quorum is reachable.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Timeout of a poll: the wait, the confirmation by a quorum and the network delay.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Delay after a poll without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Failed polls in a row after which the entry stops to poll a replica that is not a member.
const MAX_FAILURES: u32 = 8;

/// Time after the restart of a replica in which it hears all endpoints anew: the time after which it
/// would call a known one silent.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Control replicas that the entry polls.
#[derive(Default)]
pub struct PolledReplicas {
    addresses: RefCell<HashSet<SocketAddr>>,
    members: RefCell<HashSet<Name>>,
    sources: RefCell<Sources>,
}

impl PolledReplicas {
    /// Addresses of all members, as the latest answer named them.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.iter().filter_map(|address| address.parse().ok()).collect()
    }
}

/// Polls the seeds and every replica that an answer names.
pub fn start(entry: &Rc<Entry>) -> Rc<PolledReplicas> {
    let polled = Rc::new(PolledReplicas::default());
    add_seeds(entry, &polled, &entry.settings.seeds);
    polled
}

/// Polls replicas that reloaded settings name.
pub fn add_seeds(entry: &Rc<Entry>, polled: &Rc<PolledReplicas>, seeds: &[SocketAddrV4]) {
    for seed in seeds {
        start_polling(entry, polled, SocketAddr::V4(*seed));
    }
}

fn start_polling(entry: &Rc<Entry>, polled: &Rc<PolledReplicas>, address: SocketAddr) {
    if polled.addresses.borrow_mut().insert(address) {
        tokio::task::spawn_local(run(Rc::clone(entry), Rc::clone(polled), address));
    }
}

async fn run(entry: Rc<Entry>, polled: Rc<PolledReplicas>, address: SocketAddr) {
    let client = Client::start(address, entry.log.clone());
    let mut cursor = Cursor::default();
    let mut failures = 0;
    let mut asked_at = Duration::ZERO;
    let mut restarted_at = None;
    loop {
        let is_urgent = entry.confirmation_wanted_at.get() > asked_at;
        asked_at = boot_time();
        let wait = if is_urgent { Duration::ZERO } else { POLL_WAIT };
        let poll = poll_request(&entry, &polled, address, cursor, wait);
        let called = client.call(Request::Poll(Box::new(poll)), ANSWER_TIMEOUT);
        let answer = tokio::select! {
            answer = called => answer,
            () = entry.confirmation_wanted.notified(), if !is_urgent => continue,
        };
        let Some(Answer::Poll(answer)) = answer else {
            failures += 1;
            polled.sources.borrow_mut().record_failure(address);
            let member = polled.members.borrow().contains(address.to_string().as_str());
            let seed = entry.settings.seeds.iter().any(|seed| SocketAddr::V4(*seed) == address);
            if failures >= MAX_FAILURES && !member && !seed {
                info!(entry.log, "replica is no longer polled"; "peer" => %address);
                polled.addresses.borrow_mut().remove(&address);
                polled.sources.borrow_mut().remove(address);
                entry.directory.borrow_mut().record_restart(address);
                forget_unreported(&entry, address);
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        failures = 0;
        if cursor.epoch != answer.cursor.epoch && cursor != Cursor::default() {
            entry.directory.borrow_mut().record_restart(address);
            restarted_at = Some(asked_at);
        }
        cursor = answer.cursor;
        apply_answer(&entry, &polled, asked_at, *answer, address);
        if restarted_at.is_some_and(|restarted_at| asked_at >= restarted_at + REPORT_TIME) {
            restarted_at = None;
            forget_unreported(&entry, address);
        }
    }
}

/// Ends what a replica said of endpoints before its restart, or before it was removed.
fn forget_unreported(entry: &Entry, replica: SocketAddr) {
    for id in entry.directory.borrow_mut().forget_unreported(replica) {
        info!(entry.log, "endpoint changed"; "endpoint" => &*id, "change" => ?Change::Silent,
            "replica" => %replica);
    }
}

fn poll_request(
    entry: &Entry,
    polled: &PolledReplicas,
    address: SocketAddr,
    cursor: Cursor,
    wait: Duration,
) -> Poll {
    let view = entry.view.borrow();
    let sources = polled.sources.borrow();
    let source = sources.source(&entry.settings.name, |zone| entry.is_in_region(zone));
    let running = view.roll_outs.newest.iter().filter(|roll_out| roll_out.phase.is_running());
    let services: Vec<Name> = running.map(|roll_out| roll_out.service.clone()).collect();
    Poll {
        entry: entry.settings.name.as_str().into(),
        incarnation: entry.incarnation,
        configuration: view.number(),
        wants_configuration: sources.wants_configuration(
            address,
            source,
            view.number(),
            boot_time(),
        ),
        revision: view.revision,
        cursor,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        tallies: entry.tallies.borrow().for_services(&services, boot_time()),
    }
}

fn apply_answer(
    entry: &Rc<Entry>,
    polled: &Rc<PolledReplicas>,
    asked_at: Duration,
    answer: PollAnswer,
    from: SocketAddr,
) {
    entry.entries.set(answer.entries.max(1));
    polled.sources.borrow_mut().record_answer(from, answer.zone);
    for departure in &answer.departures {
        let change = entry.directory.borrow_mut().depart(departure);
        if change != Change::None {
            info!(entry.log, "endpoint departed"; "endpoint" => &*departure.id,
                "change" => ?change, "incarnation" => departure.incarnation, "replica" => %from);
        }
    }
    for update in answer.endpoint_updates {
        let (id, order) = (update.announcement.id.clone(), update.announcement.order());
        let address = update.announcement.address;
        let version = update.announcement.version.clone();
        let change = entry.directory.borrow_mut().apply(update, from);
        if change != Change::None {
            info!(entry.log, "endpoint changed"; "endpoint" => &*id, "change" => ?change,
                "incarnation" => order.0, "sequence" => order.1, "address" => %address,
                "version" => &*version, "replica" => %from);
        }
    }
    if let Some(confirmed) = answer.confirmed {
        let (ready, age) = (entry.is_ready(), entry.view.borrow().age());
        let newest = confirmed.number;
        let changed = entry.view.borrow_mut().confirm(asked_at, confirmed);
        let view = entry.view.borrow();
        entry.tallies.borrow_mut().track(&view.roll_outs, boot_time());
        polled.sources.borrow_mut().record_numbers(newest, view.number(), boot_time());
        if changed {
            entry.metrics.configuration.set(i64::try_from(view.number()).unwrap_or(i64::MAX));
            info!(entry.log, "agreed state changed"; "configuration" => view.number(),
                "revision" => view.revision, "replica" => %from,
                "roll_outs" => view.roll_outs.newest.iter()
                    .map(|roll_out| format!("{} {} {:?}", roll_out.service, roll_out.target, roll_out.phase))
                    .collect::<Vec<_>>().join(", "),
                "evacuated" => view.evacuated.join(", "));
        }
        drop(view);
        if !ready && entry.is_ready() {
            info!(entry.log, "lease regained"; "replica" => %from,
                "age_ms" => age.map(|age| age.as_millis() as u64));
        }
    }
    entry.state_changed.notify_waiters();
    if !answer.replicas.is_empty() {
        for address in answer.replicas.iter().filter_map(|address| address.parse().ok()) {
            start_polling(entry, polled, address);
        }
        *polled.members.borrow_mut() = answer.replicas.into_iter().collect();
        entry.cold.set_replicas(polled.replicas());
    }
}
