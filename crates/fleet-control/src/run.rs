//! Starts a control replica.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::link;
use hickoryreel_fleet::link::Identity;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use xxhash_rust::xxh3::xxh3_128;

use crate::control::Control;
use crate::directory::Directory;
use crate::follow::Followers;
use crate::log;
use crate::members;
use crate::members::Joiners;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::quorum::Quorum;
use crate::roll_out;
use crate::roll_out::Tallies;
use crate::settings::Settings;

/// Messages of the log that wait to be sent; the log repeats what does not fit.
const OUTBOX: usize = 4_096;

/// Time between two looks for endpoints that fell silent.
const EXPIRE_PERIOD: Duration = Duration::from_millis(500);

/// Limit for handing leadership over before a stop.
const TRANSFER_LIMIT: Duration = Duration::from_secs(2);

/// A control replica that runs, and the channel that gets the reason if its disk fails.
pub type Running = (Rc<Control>, oneshot::Receiver<eyre::Report>);

/// Starts the tasks of a control replica on the current `LocalSet`.
pub async fn start(settings: Settings, log: Logger) -> eyre::Result<Running> {
    let (outbox, messages) = mpsc::channel(OUTBOX);
    let (log_handle, failure) = log::start(log::Start {
        data: &settings.data,
        settings: settings.log.clone(),
        first: first_members(&settings),
        outbox,
        log: log.clone(),
    })?;
    let listener = TcpListener::bind(settings.links)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.links))?;
    let id = log_handle.agreed.borrow().id;
    let own = Identity { id, address: settings.links.to_string().into() };
    let peers = Rc::new(Peers::new(own, log.clone()));
    let control = Rc::new(Control {
        quorum: Quorum::start(log_handle.clone(), Rc::clone(&peers)),
        peers: Rc::clone(&peers),
        seeds: Rc::new(RefCell::new(settings.seeds.clone())),
        joiners: Rc::new(Joiners::default()),
        directory: RefCell::new(Directory::new(settings.announce_interval)),
        directory_changed: Notify::new(),
        followers: RefCell::new(Followers::default()),
        board: RefCell::default(),
        tallies: Rc::new(Tallies::default()),
        metrics: Metrics::default(),
        log: log.clone(),
        log_handle: log_handle.clone(),
        settings,
    });
    spawn_local(peers::deliver(Rc::clone(&peers), log_handle.agreed.clone(), messages));
    spawn_local(link::serve(listener, Rc::clone(&control), log.clone()));
    let joiners = Rc::clone(&control.joiners);
    spawn_local(members::control(log_handle.clone(), Rc::clone(&peers), joiners, log.clone()));
    spawn_local(members::join(log_handle.clone(), peers, Rc::clone(&control.seeds), log.clone()));
    spawn_local(roll_out::control(log_handle, Rc::clone(&control.tallies), log.clone()));
    spawn_local(expire(Rc::clone(&control)));
    info!(log, "control replica is up"; "links" => %control.settings.links, "replica" => %id,
        "bootstrap" => control.settings.bootstrap);
    Ok((control, failure))
}

async fn expire(control: Rc<Control>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let silent = control.directory.borrow_mut().expire();
        for id in &silent {
            info!(control.log, "endpoint is silent"; "endpoint" => &**id);
        }
        if !silent.is_empty() {
            control.directory_changed.notify_waiters();
        }
        let agreed = control.quorum.agreed();
        let metrics = &control.metrics;
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.endpoints.set(gauge(control.directory.borrow().present() as u64));
        metrics.configuration.set(gauge(agreed.machine.configuration.number));
        metrics.leading.set(i64::from(agreed.role == Role::Leader));
    }
}

/// Hands leadership over, so that the others need not wait for an election timeout.
pub async fn hand_over(control: &Control) {
    if control.quorum.agreed().role != Role::Leader {
        return;
    }
    control.log_handle.transfer();
    let mut agreed = control.log_handle.agreed.clone();
    let follows = agreed.wait_for(|agreed| agreed.role != Role::Leader);
    if tokio::time::timeout(TRANSFER_LIMIT, follows).await.is_err() {
        info!(control.log, "no other replica took over");
    }
}

/// The seeds form the first member set. Their identities follow from their addresses, so that
/// each seed knows all of them without a message.
fn first_members(settings: &Settings) -> Option<(ReplicaId, Members)> {
    let identity = |address: &str| ReplicaId(xxh3_128(address.as_bytes()));
    let first = settings.bootstrap && settings.seeds.contains(&settings.links);
    first.then(|| {
        let members = settings.seeds.iter().map(|seed| {
            let address = seed.to_string();
            Member { id: identity(&address), address: address.into(), voter: true }
        });
        (identity(&settings.links.to_string()), members.collect())
    })
}
