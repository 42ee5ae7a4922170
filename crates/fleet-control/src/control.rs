//! Requests that a control replica answers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_base::time::unix_millis;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::crash;
use hickoryreel_fleet::crash::Judge;
use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::ColdDecision;
use hickoryreel_fleet::link::ColdRequest;
use hickoryreel_fleet::link::Handler;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::Totals;
use hickoryreel_fleet::roll_out::RollOut;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;

use crate::cold_admission::ColdAdmission;
use crate::consensus_client::ConsensusClient;
use crate::departure_recorder::DepartureRecorder;
use crate::directory::Directory;
use crate::load_totals::LoadTotals;
use crate::long_poll;
use crate::long_poll::PollingEntries;
use crate::machine::Command;
use crate::members::JoinRequests;
use crate::members::LeaveNotices;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::replicated_log::LogHandle;
use crate::roll_out::Tallies;
use crate::send_totals::SendTotals;
use crate::settings::Settings;

/// Timeout of a request that passes an update on to another replica.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for a quorum to confirm the leader before it admits a request to an endpoint that warms up.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);

/// Ratio of a new version's share during the trial to the exposure limit. It may exceed 1, because
/// the limit applies to the whole duration of a roll-out, of which the trial takes a quarter.
const TRIAL_SHARE_FACTOR: f64 = 1.8;

/// No quorum confirmed the request in time. The caller may retry it at any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed;

/// Why an order to evacuate an availability zone or to end that, or an announcement, is not
/// acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No such availability zone is known.
    UnknownZone,
    /// An announcement has the id of an endpoint, but another service, which no configuration has
    /// named.
    Foreign,
    /// See [`Unconfirmed`].
    Unconfirmed,
}

/// A control replica.
pub struct Control {
    pub settings: Settings,
    /// The replicated log; `log` is the log of the process.
    pub log_handle: LogHandle,
    pub consensus: ConsensusClient,
    pub peers: Rc<Peers>,
    /// Link addresses of the replicas that the settings name.
    pub seeds: Rc<RefCell<Vec<SocketAddrV4>>>,
    pub join_requests: JoinRequests,
    pub leave_notices: LeaveNotices,
    pub directory: RefCell<Directory>,
    pub departure_recorder: DepartureRecorder,
    /// Wakes long polls after a change of the directory.
    pub directory_changed: Notify,
    pub polling_entries: RefCell<PollingEntries>,
    /// Load that all entries put on each endpoint.
    pub load_totals: RefCell<LoadTotals>,
    /// Sends of all entries to each service.
    pub send_totals: RefCell<SendTotals>,
    /// Crashes of endpoints, and the prompt parts that are blocked for them.
    pub crash_judge: RefCell<Judge>,
    /// Requests that this replica has admitted to endpoints that warm up.
    pub cold_admission: RefCell<ColdAdmission>,
    /// Request counts of services with a running roll-out.
    pub tallies: Rc<Tallies>,
    pub metrics: Metrics,
    pub log: Logger,
}

impl Control {
    /// Replaces the seeds after a reload of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Lets the directory use the endpoints of the services that the configuration names, and ignore
    /// those that have departed.
    pub fn update_directory(&self) {
        let state = self.consensus.state();
        let services = state.machine.configuration.services.iter().map(|service| &service.name);
        let mut directory = self.directory.borrow_mut();
        let has_services = directory.add_services(services);
        if directory.add_departures(&state.machine.departures) || has_services {
            self.directory_changed.notify_waiters();
        }
    }

    /// Records the announcement of an endpoint and forwards it to the other replicas. If the endpoint
    /// drains, waits until the replicated log says so.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), Rejection> {
        self.metrics.announcements.inc();
        self.update_directory();
        let (draining, order) = (announcement.draining, announcement.order());
        let id = announcement.id.clone();
        if self.directory.borrow().is_foreign(&announcement) {
            info!(self.log, "announcement of another service under the id of an endpoint";
                "endpoint" => &*id, "service" => &*announcement.service,
                "address" => %announcement.address);
            return Err(Rejection::Foreign);
        }
        let is_configured = self.directory.borrow().is_configured(&announcement);
        let outcome = self.directory.borrow_mut().announce(announcement.clone());
        let Some(changed) = outcome else {
            self.metrics.stale_announcements.inc();
            info!(self.log, "stale announcement"; "endpoint" => &*id,
                "incarnation" => order.0, "sequence" => order.1);
            return Ok(());
        };
        if changed {
            info!(self.log, "endpoint changed"; "endpoint" => &*id,
                "service" => &*announcement.service, "address" => %announcement.address,
                "version" => &*announcement.version, "draining" => draining,
                "incarnation" => order.0, "sequence" => order.1);
            self.directory_changed.notify_waiters();
        }
        self.forward(&Request::Announced(vec![announcement]));
        if !draining || !is_configured {
            return Ok(());
        }
        let kind = departure::Kind::Draining(order.1);
        let departure = Departure { id, incarnation: order.0, kind };
        self.record_departure(departure).await.map_err(|Unconfirmed| Rejection::Unconfirmed)
    }

    /// Deregisters an endpoint, known or not, and forwards that to the other replicas. A later
    /// incarnation than the stated one stays. Waits until the replicated log says so.
    pub async fn deregister(&self, id: &str, stated: Option<u64>) -> Result<(), Unconfirmed> {
        let known = self.directory.borrow().incarnation(id);
        // Without any statement, it is one that has started before now.
        let incarnation = stated.or(known).unwrap_or_else(unix_millis);
        let departure = Departure { id: id.into(), incarnation, kind: departure::Kind::Gone };
        self.depart(&departure);
        info!(self.log, "endpoint deregistered"; "endpoint" => id, "incarnation" => known,
            "stated_incarnation" => stated);
        self.forward(&Request::Departed(departure.clone()));
        self.record_departure(departure).await
    }

    fn depart(&self, departure: &Departure) {
        if self.directory.borrow_mut().depart(departure) {
            self.directory_changed.notify_waiters();
        }
    }

    /// Records a departure in the replicated log, unless it is there.
    async fn record_departure(&self, departure: Departure) -> Result<(), Unconfirmed> {
        if self.consensus.state().machine.departures.includes(&departure) {
            return Ok(());
        }
        let id = departure.id.clone();
        if !self.departure_recorder.record(departure).await {
            self.metrics.unconfirmed.inc();
            info!(self.log, "departure is not recorded"; "endpoint" => &*id);
            return Err(Unconfirmed);
        }
        Ok(())
    }

    fn forward(&self, update: &Request) {
        for client in self.peers.other_members(&self.consensus.state()) {
            client.notify(update.clone(), FORWARD_TIMEOUT);
        }
    }

    /// Puts a validated configuration in force, unless one with the same or a higher number is.
    pub async fn put_configuration(
        &self,
        configuration: Configuration,
        source: Bytes,
    ) -> Result<(), Unconfirmed> {
        let number = configuration.number;
        let command = Command::PutConfiguration(Box::new(configuration), source);
        self.propose("configuration", &number.to_string(), &command).await
    }

    /// Starts a roll-out, unless the newest one of the service has the same target.
    pub async fn start_roll_out(
        &self,
        service: Name,
        target: Name,
        length: Duration,
    ) -> Result<(), Unconfirmed> {
        let share = self.settings.exposure_limit * TRIAL_SHARE_FACTOR * 1_000.0;
        let subject = format!("{service} to {target}");
        let command = Command::StartRollOut {
            service,
            target,
            length_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
            share: share as u32,
        };
        self.propose("roll-out", &subject, &command).await
    }

    /// Starts or ends the evacuation of an availability zone. Nothing more is sent to its endpoints
    /// until the evacuation ends.
    pub async fn set_evacuation(&self, zone: &str, evacuated: bool) -> Result<(), Rejection> {
        let started = boot_time();
        // An order must not count fewer orders before it than were acknowledged: it would then be
        // taken for a late copy of one of them.
        let confirmed = self.consensus.linearizable_read(self.settings.answer_timeout).await;
        let is_confirmed = confirmed.is_some();
        let state = confirmed.unwrap_or_else(|| self.consensus.state());
        let is_evacuated = state.machine.evacuated.iter().any(|known| &**known == zone);
        if !self.settings.zones.iter().any(|known| known == zone) && !is_evacuated {
            info!(self.log, "order for an unknown availability zone"; "zone" => zone);
            return Err(Rejection::UnknownZone);
        }
        let kind = if evacuated { "evacuation" } else { "end of an evacuation" };
        if !is_confirmed {
            self.unconfirmed_read(kind);
            return Err(Rejection::Unconfirmed);
        }
        let earlier_orders = state.machine.evacuation_orders(zone);
        let command = Command::SetEvacuation { zone: zone.into(), evacuated, earlier_orders };
        let proposed = self.propose_since(started, kind, zone, &command).await;
        proposed.map_err(|Unconfirmed| Rejection::Unconfirmed)
    }

    /// Decides on a request to an endpoint that warms up, if this replica leads and a quorum confirms
    /// that.
    async fn admit_cold(&self, request: &ColdRequest) -> Answer {
        let Some(state) = self.consensus.linearizable_read(ADMISSION_TIMEOUT).await else {
            return Answer::Refused;
        };
        let now = boot_time();
        self.record_leadership();
        let service = state.machine.configuration.service(&request.service);
        let Some(cold_start) = service.and_then(|service| service.cold_start) else {
            return Answer::Refused;
        };
        let mut admission = self.cold_admission.borrow_mut();
        match admission.decide(request, cold_start, &self.settings.cold_limit, now) {
            Some(decision) => {
                let decided = match decision {
                    ColdDecision::Admitted(_) => &self.metrics.cold_admissions,
                    ColdDecision::Wait(_) => &self.metrics.cold_refusals,
                };
                decided.inc();
                Answer::Cold(decision)
            }
            None => Answer::Refused,
        }
    }

    /// Records whether this replica leads, for the admission of requests to endpoints that warm up.
    pub fn record_leadership(&self) {
        let state = self.consensus.state();
        let term = (state.role == Role::Leader).then_some(state.term);
        self.cold_admission.borrow_mut().record_leadership(term, boot_time());
    }

    async fn propose(
        &self,
        kind: &'static str,
        subject: &str,
        command: &Command,
    ) -> Result<(), Unconfirmed> {
        self.propose_since(boot_time(), kind, subject, command).await
    }

    /// Proposes the command of an order that arrived at time `started`.
    async fn propose_since(
        &self,
        started: Duration,
        kind: &'static str,
        subject: &str,
        command: &Command,
    ) -> Result<(), Unconfirmed> {
        let spent = boot_time().saturating_sub(started);
        let timeout = self.settings.answer_timeout.saturating_sub(spent);
        let acknowledged = self.consensus.propose(command.encode(), timeout).await;
        let elapsed = boot_time().saturating_sub(started);
        info!(self.log, "order"; "order" => kind, "subject" => subject,
            "acknowledged" => acknowledged, "ms" => elapsed.as_millis() as u64,
            "applied" => self.consensus.state().applied);
        if !acknowledged {
            self.metrics.unconfirmed.inc();
            return Err(Unconfirmed);
        }
        self.metrics.orders.inc();
        self.metrics.order_seconds.observe(elapsed.as_secs_f64());
        Ok(())
    }

    /// Returns the newest configuration as the operator sent it; empty if there is none.
    pub async fn newest_configuration(&self) -> Result<Bytes, Unconfirmed> {
        let state = self.consensus.linearizable_read(self.settings.answer_timeout).await;
        state.map(|state| state.machine.source.clone()).ok_or_else(|| self.unconfirmed_read("read"))
    }

    /// Returns the newest roll-out of a service.
    pub async fn roll_out(&self, service: &str) -> Result<Option<RollOut>, Unconfirmed> {
        let state = self.consensus.linearizable_read(self.settings.answer_timeout).await;
        let state = state.ok_or_else(|| self.unconfirmed_read("roll-out"))?;
        Ok(state.machine.roll_outs.for_service(service).cloned())
    }

    fn unconfirmed_read(&self, read: &'static str) -> Unconfirmed {
        self.metrics.unconfirmed.inc();
        let state = self.consensus.state();
        info!(self.log, "no quorum for a read"; "read" => read, "applied" => state.applied,
            "leader" => state.leader.as_ref().map(|leader| leader.address.to_string()));
        Unconfirmed
    }

    /// Adds what an entry knows about crashes and returns what it should know.
    fn add_crashes(&self, entry: &Name, report: &crash::Report, now: Duration) -> crash::Verdict {
        let (verdict, findings) = self.crash_judge.borrow_mut().answer(report, now);
        for finding in findings {
            self.metrics.blocked_parts.inc();
            info!(self.log, "prompt part crashes endpoints and is blocked";
                "part" => format!("{:x}", finding.part), "crashes" => finding.crashes,
                "ambiguous" => finding.ambiguous, "reported_by" => &**entry,
                "block_s" => crash::BLOCK_TIME.as_secs());
        }
        verdict
    }

    /// Forwards a join request to the leader. Without another leader it is kept here, because this
    /// replica may become the leader before the request is repeated.
    fn forward_or_record_join(&self, identity: Identity) {
        let state = self.consensus.state();
        let leader = state.leader.as_ref().filter(|leader| leader.id != state.id);
        match leader.and_then(|leader| self.peers.client(&leader.address)) {
            Some(leader) => leader.notify(Request::ForwardedJoin(identity), FORWARD_TIMEOUT),
            None => self.join_requests.record(identity),
        }
    }

    /// Answers a request of an entry or another replica.
    async fn answer(self: Rc<Self>, request: Request) -> Answer {
        match request {
            Request::Log(identity, messages) => {
                self.peers.record_heard(&identity);
                self.log_handle.deliver(messages);
                Answer::Done
            }
            Request::Join(identity) => {
                self.forward_or_record_join(identity);
                Answer::Done
            }
            Request::ForwardedJoin(identity) => {
                self.join_requests.record(identity);
                Answer::Done
            }
            Request::Leave(identity) => {
                info!(self.log, "replica stops"; "replica" => &*identity.address);
                self.leave_notices.record(identity.id);
                Answer::Done
            }
            Request::Announced(announcements) => {
                self.update_directory();
                let mut directory = self.directory.borrow_mut();
                let outcomes: Vec<_> = announcements
                    .into_iter()
                    .map(|announcement| directory.announce(announcement))
                    .collect();
                if outcomes.contains(&Some(true)) {
                    self.directory_changed.notify_waiters();
                }
                Answer::Done
            }
            Request::Departed(departure) => {
                self.depart(&departure);
                Answer::Done
            }
            Request::Propose(command) => self.consensus.propose_locally(command).await,
            Request::ReadIndex => self.consensus.read_index().await,
            Request::Poll(poll) => long_poll::answer(self, *poll).await,
            Request::AdmitCold(request) => {
                let forwarded = Request::ForwardedAdmitCold(request.clone());
                match self.consensus.call_leader(forwarded).await {
                    Some(answer) => answer,
                    None => self.admit_cold(&request).await,
                }
            }
            Request::ForwardedAdmitCold(request) => self.admit_cold(&request).await,
            // Only entries choose endpoints.
            Request::Explain(_) => Answer::Refused,
            Request::ReportLoad(report) => {
                let now = boot_time();
                let mut send_totals = self.send_totals.borrow_mut();
                send_totals.add(&report.sends, now);
                let crashes = self.add_crashes(&report.entry, &report.crashes, now);
                let loads = self.load_totals.borrow_mut().add_report(*report, now);
                Answer::Totals(Totals { loads, sends: send_totals.totals(now), crashes })
            }
        }
    }
}

impl Handler for Control {
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> + 'static {
        self.answer(request)
    }
}
