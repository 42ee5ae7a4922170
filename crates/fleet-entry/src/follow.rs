//! Long polls to control: one loop for each replica.
//!
//! All replicas are followed at once, so that news of an endpoint arrives from the replica that
//! acknowledged it even while the replicas are cut off from each other.

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

/// Longest wait of a poll without news. It bounds the age of the lease while all is well.
const WAIT: Duration = Duration::from_millis(700);

/// Longest time until the answer of a poll: the wait, the confirmation by a quorum and the way.
const LIMIT: Duration = Duration::from_millis(1_700);

/// Pause after a poll without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Polls without an answer after which a replica that is not a member is no longer followed.
const FORGET_AFTER: u32 = 8;

/// The replicas that are followed.
#[derive(Default)]
pub struct Followed {
    addresses: RefCell<HashSet<SocketAddr>>,
    members: RefCell<HashSet<Name>>,
}

impl Followed {
    /// Addresses of all replicas.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.iter().filter_map(|one| one.parse().ok()).collect()
    }
}

/// Follows the seeds and every replica that they name.
pub fn start(entry: &Rc<Entry>) -> Rc<Followed> {
    let followed = Rc::new(Followed::default());
    add_seeds(entry, &followed, &entry.settings.seeds);
    followed
}

/// Follows replicas that changed settings name.
pub fn add_seeds(entry: &Rc<Entry>, followed: &Rc<Followed>, seeds: &[SocketAddrV4]) {
    for seed in seeds {
        follow(entry, followed, SocketAddr::V4(*seed));
    }
}

fn follow(entry: &Rc<Entry>, followed: &Rc<Followed>, address: SocketAddr) {
    if followed.addresses.borrow_mut().insert(address) {
        tokio::task::spawn_local(run(Rc::clone(entry), Rc::clone(followed), address));
    }
}

async fn run(entry: Rc<Entry>, followed: Rc<Followed>, address: SocketAddr) {
    let client = Client::start(address, entry.log.clone());
    let mut cursor = Cursor::default();
    let mut failures = 0;
    loop {
        let asked_at = boot_time();
        let request = Request::Poll(Box::new(poll(&entry, cursor)));
        let Some(Answer::Poll(news)) = client.call(request, LIMIT).await else {
            failures += 1;
            let member = followed.members.borrow().contains(address.to_string().as_str());
            let seed = entry.settings.seeds.iter().any(|seed| SocketAddr::V4(*seed) == address);
            if failures >= FORGET_AFTER && !member && !seed {
                info!(entry.log, "replica is no longer followed"; "peer" => %address);
                followed.addresses.borrow_mut().remove(&address);
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        failures = 0;
        cursor = news.cursor;
        take_in(&entry, &followed, asked_at, *news, address);
    }
}

fn poll(entry: &Entry, cursor: Cursor) -> Poll {
    let view = entry.view.borrow();
    let running = view.roll_outs.newest.iter().filter(|one| one.phase.is_running());
    let services: Vec<Name> = running.map(|one| one.service.clone()).collect();
    Poll {
        entry: entry.settings.name.as_str().into(),
        incarnation: entry.incarnation,
        configuration: view.number(),
        revision: view.revision,
        cursor,
        wait_ms: u64::try_from(WAIT.as_millis()).unwrap_or(u64::MAX),
        tallies: entry.tallies.borrow().of_services(&services),
    }
}

fn take_in(
    entry: &Rc<Entry>,
    followed: &Rc<Followed>,
    asked_at: Duration,
    news: PollAnswer,
    from: SocketAddr,
) {
    entry.entries.set(news.entries.max(1));
    for sighting in news.endpoint_updates {
        let (id, order) = (sighting.announcement.id.clone(), sighting.announcement.order());
        let address = sighting.announcement.address;
        let version = sighting.announcement.version.clone();
        let change = entry.directory.borrow_mut().take_in(sighting, from);
        if change != Change::None {
            info!(entry.log, "endpoint changed"; "endpoint" => &*id, "change" => ?change,
                "incarnation" => order.0, "sequence" => order.1, "address" => %address,
                "version" => &*version, "replica" => %from);
        }
    }
    if let Some(confirmed) = news.confirmed {
        let (ready, age) = (entry.is_ready(), entry.view.borrow().age());
        let changed = entry.view.borrow_mut().confirm(asked_at, confirmed);
        let view = entry.view.borrow();
        if changed {
            entry.metrics.configuration.set(i64::try_from(view.number()).unwrap_or(i64::MAX));
            info!(entry.log, "agreed state changed"; "configuration" => view.number(),
                "revision" => view.revision, "replica" => %from,
                "roll_outs" => view.roll_outs.newest.iter()
                    .map(|one| format!("{} {} {:?}", one.service, one.target, one.phase))
                    .collect::<Vec<_>>().join(", "));
        }
        drop(view);
        if !ready && entry.is_ready() {
            info!(entry.log, "lease regained"; "replica" => %from,
                "age_ms" => age.map(|age| age.as_millis() as u64));
        }
    }
    entry.news.notify_waiters();
    if !news.replicas.is_empty() {
        for address in news.replicas.iter().filter_map(|one| one.parse().ok()) {
            follow(entry, followed, address);
        }
        *followed.members.borrow_mut() = news.replicas.into_iter().collect();
    }
}
