//! Starts a control replica and its tasks.

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

use crate::consensus_client::ConsensusClient;
use crate::control::Control;
use crate::departure_recorder::DepartureRecorder;
use crate::directory::Directory;
use crate::long_poll::PollingEntries;
use crate::members;
use crate::members::JoinRequests;
use crate::members::LeaveNotices;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::replicated_log;
use crate::replicated_log::ReplicaState;
use crate::roll_out;
use crate::roll_out::Tallies;
use crate::send_totals::SendTotals;
use crate::settings::Settings;
use crate::version_adoption;

/// Capacity of the outbox for consensus messages. The protocol resends messages that do not fit.
const OUTBOX_CAPACITY: usize = 4_096;

/// Interval between the checks for silent endpoints.
const EXPIRE_PERIOD: Duration = Duration::from_millis(500);

/// Time to wait for another replica to become leader before a stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running control replica, and a channel that gets the error if its log thread fails.
pub type Running = (Rc<Control>, oneshot::Receiver<eyre::Report>);

/// Starts the tasks of a control replica on the current `LocalSet`.
pub async fn start(settings: Settings, log: Logger) -> eyre::Result<Running> {
    let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
    let (log_handle, failure) = replicated_log::start(replicated_log::Options {
        data_dir: &settings.data_dir,
        settings: settings.log.clone(),
        bootstrap: bootstrap_members(&settings),
        outbox,
        log: log.clone(),
    })?;
    let listener = TcpListener::bind(settings.link_address)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.link_address))?;
    let id = log_handle.state.borrow().id;
    let own = Identity { id, address: settings.link_address.to_string().into() };
    let peers = Rc::new(Peers::new(own, log.clone()));
    let consensus =
        ConsensusClient::start(log_handle.clone(), Rc::clone(&peers), settings.held_voters);
    let control = Rc::new(Control {
        departure_recorder: DepartureRecorder::start(consensus.clone(), settings.answer_timeout),
        consensus,
        peers: Rc::clone(&peers),
        seeds: Rc::new(RefCell::new(settings.seeds.clone())),
        join_requests: JoinRequests::default(),
        leave_notices: LeaveNotices::default(),
        directory: RefCell::new(Directory::new(settings.announce_interval)),
        directory_changed: Notify::new(),
        polling_entries: RefCell::new(PollingEntries::default()),
        load_totals: RefCell::default(),
        send_totals: RefCell::new(SendTotals::new(settings.retry_window)),
        crash_judge: RefCell::default(),
        cold_admission: RefCell::default(),
        tallies: Rc::new(Tallies::default()),
        metrics: Metrics::default(),
        log: log.clone(),
        log_handle: log_handle.clone(),
        settings,
    });
    spawn_local(peers::send_messages(Rc::clone(&peers), log_handle.state.clone(), messages));
    spawn_local(link::serve(listener, Rc::clone(&control), log.clone()));
    spawn_local(members::run_controller(Rc::clone(&control)));
    spawn_local(members::show_presence(log_handle.clone(), Rc::clone(&peers)));
    spawn_local(members::request_join(
        log_handle.clone(),
        peers,
        Rc::clone(&control.seeds),
        log.clone(),
    ));
    spawn_local(roll_out::run_controller(log_handle, Rc::clone(&control.tallies), log.clone()));
    spawn_local(version_adoption::run_controller(Rc::clone(&control)));
    spawn_local(expire(Rc::clone(&control)));
    spawn_local(follow_state(Rc::clone(&control)));
    info!(log, "control replica is up"; "links" => %control.settings.link_address, "replica" => %id,
        "bootstrap" => control.settings.bootstrap);
    Ok((control, failure))
}

/// Updates the directory as soon as a configuration names services or endpoints have departed.
async fn follow_state(control: Rc<Control>) {
    let mut state = control.log_handle.state.clone();
    let position = |state: &ReplicaState| {
        (state.machine.configuration.number, state.machine.departures.last_number())
    };
    let mut seen = (0, 0);
    loop {
        control.update_directory();
        let differs = state.wait_for(|state| position(state) != seen).await;
        // The thread that owns the log has ended.
        let Ok(changed) = differs else { return };
        seen = position(&changed);
    }
}

/// Marks silent endpoints, records the leadership and updates the gauges, periodically.
async fn expire(control: Rc<Control>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        control.record_leadership();
        let silent = control.directory.borrow_mut().expire();
        for id in &silent {
            info!(control.log, "endpoint is silent"; "endpoint" => &**id);
        }
        if !silent.is_empty() {
            control.directory_changed.notify_waiters();
        }
        let state = control.consensus.state();
        let metrics = &control.metrics;
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.endpoints.set(gauge(control.directory.borrow().present_count() as u64));
        metrics.configuration.set(gauge(state.machine.configuration.number));
        metrics.evacuated_zones.set(gauge(state.machine.evacuated.len() as u64));
        metrics.leading.set(i64::from(state.role == Role::Leader));
    }
}

/// Prepares the stop of this replica: another one takes over its leadership and, if there is one, its
/// vote.
pub async fn leave(control: &Control) {
    transfer_leadership(control).await;
    members::leave(control).await;
}

/// Transfers the leadership if this replica is the leader, so that the other replicas need not wait
/// for an election timeout.
async fn transfer_leadership(control: &Control) {
    if control.consensus.state().role != Role::Leader {
        return;
    }
    control.log_handle.transfer_leadership(members::successor(control));
    let mut state = control.log_handle.state.clone();
    let stepped_down = state.wait_for(|state| state.role != Role::Leader);
    if tokio::time::timeout(TRANSFER_TIMEOUT, stepped_down).await.is_err() {
        info!(control.log, "no other replica took over");
    }
}

/// Returns the id of this replica and the first member set, which consists of the seeds. The ids
/// are hashes of the addresses, so that every seed can compute all of them without a message.
fn bootstrap_members(settings: &Settings) -> Option<(ReplicaId, Members)> {
    let replica_id = |address: &str| ReplicaId(xxh3_128(address.as_bytes()));
    let is_first_member = settings.bootstrap && settings.seeds.contains(&settings.link_address);
    is_first_member.then(|| {
        let members = settings.seeds.iter().map(|seed| {
            let address = seed.to_string();
            Member { id: replica_id(&address), address: address.into(), voter: true }
        });
        (replica_id(&settings.link_address.to_string()), members.collect())
    })
}
