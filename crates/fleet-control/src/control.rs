//! The calls that a control replica answers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Handler;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::roll_out::RollOut;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;

use crate::board::Board;
use crate::directory::Directory;
use crate::follow;
use crate::follow::Followers;
use crate::log::Log;
use crate::machine::Command;
use crate::members::Joiners;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::quorum::Quorum;
use crate::roll_out::Tallies;
use crate::settings::Settings;

/// Longest wait for another replica to confirm that an endpoint leaves, before the endpoint is
/// acknowledged anyway: three round trips between regions.
const SPREAD_LIMIT: Duration = Duration::from_millis(80);

/// Limit of a link for news to other replicas.
const NEWS_LIMIT: Duration = Duration::from_millis(1_000);

/// Share of the new version in a trial, in parts of the exposure limit. The limit is for the whole
/// time of a roll-out, of which the trial takes a quarter.
const SHARE_OF_EXPOSURE: f64 = 1.8;

/// No quorum confirmed the call in time; it may be repeated at any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed;

/// A control replica.
pub struct Control {
    /// Settings.
    pub settings: Settings,
    /// The replicated log.
    pub log_handle: Log,
    /// Orders and reads through the leader.
    pub quorum: Quorum,
    /// The other replicas.
    pub peers: Rc<Peers>,
    /// Link addresses of replicas that the settings name.
    pub seeds: Rc<RefCell<Vec<SocketAddrV4>>>,
    /// Replicas that asked to join.
    pub joiners: Rc<Joiners>,
    /// Endpoints.
    pub directory: RefCell<Directory>,
    /// Wakes polls after a change of the directory.
    pub directory_changed: Notify,
    /// Entries that poll this replica.
    pub followers: RefCell<Followers>,
    /// Work of the entries at endpoints.
    pub board: RefCell<Board>,
    /// Counts of versions under roll-out.
    pub tallies: Rc<Tallies>,
    /// Metrics.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: Logger,
}

impl Control {
    /// Replaces the replicas that the settings name.
    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Takes in an announcement of an endpoint and passes it on to the other replicas. Returns
    /// once the news of an endpoint that drains has reached another replica, if one answers.
    pub async fn announce(&self, announcement: Announcement) {
        self.metrics.announcements.inc();
        let (draining, order) = (announcement.draining, announcement.order());
        let id = announcement.id.clone();
        let outcome = self.directory.borrow_mut().announce(announcement.clone());
        let Some(differs) = outcome else {
            self.metrics.stale_announcements.inc();
            info!(self.log, "stale announcement"; "endpoint" => &*id,
                "incarnation" => order.0, "sequence" => order.1);
            return;
        };
        if differs {
            info!(self.log, "endpoint changed"; "endpoint" => &*id,
                "service" => &*announcement.service, "address" => %announcement.address,
                "version" => &*announcement.version, "draining" => draining,
                "incarnation" => order.0, "sequence" => order.1);
            self.directory_changed.notify_waiters();
        }
        let news = Request::Announced(vec![announcement]);
        self.spread(news, differs && draining).await;
    }

    /// Notes that an endpoint leaves for good and passes it on like an announcement.
    pub async fn leave(&self, id: &str) {
        let incarnation = self.directory.borrow_mut().leave(id, u64::MAX);
        info!(self.log, "endpoint leaves"; "endpoint" => id, "incarnation" => incarnation);
        self.directory_changed.notify_waiters();
        self.spread(Request::Deregistered(id.into(), incarnation.unwrap_or(u64::MAX)), true).await;
    }

    async fn spread(&self, news: Request, wait: bool) {
        let others = self.peers.others(&self.quorum.agreed());
        if !wait {
            others.iter().for_each(|client| client.notify(news.clone(), NEWS_LIMIT));
            return;
        }
        let calls: FuturesUnordered<_> = others
            .into_iter()
            .map(|client| {
                let news = news.clone();
                // In a task of its own, so that the calls go on when the wait ends.
                tokio::task::spawn_local(async move { client.call(news, NEWS_LIMIT).await })
            })
            .collect();
        let confirmed = calls.filter(|answer| {
            let confirmed = matches!(answer, Ok(Some(_)));
            async move { confirmed }
        });
        let mut confirmed = std::pin::pin!(confirmed);
        // Without another replica in reach the endpoint is acknowledged by this one alone.
        let _ = tokio::time::timeout(SPREAD_LIMIT, confirmed.next()).await;
    }

    /// Puts a checked configuration in force, unless a higher number is.
    pub async fn accept(
        &self,
        configuration: Configuration,
        source: Bytes,
    ) -> Result<(), Unconfirmed> {
        let number = configuration.number;
        let command = Command::Accept(Box::new(configuration), source);
        self.order("configuration", &number.to_string(), &command).await
    }

    /// Starts a roll-out, unless it is the newest one of its service already.
    pub async fn start_roll_out(
        &self,
        service: Name,
        target: Name,
        length: Duration,
    ) -> Result<(), Unconfirmed> {
        let share = self.settings.exposure * SHARE_OF_EXPOSURE * 1_000.0;
        let subject = format!("{service} to {target}");
        let command = Command::Start {
            service,
            target,
            length_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
            share: share as u32,
        };
        self.order("roll-out", &subject, &command).await
    }

    async fn order(
        &self,
        order: &'static str,
        subject: &str,
        command: &Command,
    ) -> Result<(), Unconfirmed> {
        let started = boot_time();
        let done = self.quorum.propose(command.encode(), self.settings.answer_limit).await;
        let took = boot_time().saturating_sub(started);
        info!(self.log, "order"; "order" => order, "subject" => subject, "acknowledged" => done,
            "ms" => took.as_millis() as u64, "applied" => self.quorum.agreed().applied);
        if !done {
            self.metrics.unconfirmed.inc();
            return Err(Unconfirmed);
        }
        self.metrics.orders.inc();
        self.metrics.order_time.observe(took.as_secs_f64());
        Ok(())
    }

    /// The newest configuration as the operator sent it; empty if there is none.
    pub async fn newest(&self) -> Result<Bytes, Unconfirmed> {
        let agreed = self.quorum.confirmed(self.settings.answer_limit).await;
        agreed.map(|agreed| agreed.machine.source.clone()).ok_or_else(|| self.unconfirmed("read"))
    }

    /// The newest roll-out of a service.
    pub async fn roll_out(&self, service: &str) -> Result<Option<RollOut>, Unconfirmed> {
        let agreed = self.quorum.confirmed(self.settings.answer_limit).await;
        let agreed = agreed.ok_or_else(|| self.unconfirmed("roll-out"))?;
        Ok(agreed.machine.roll_outs.for_service(service).cloned())
    }

    fn unconfirmed(&self, read: &'static str) -> Unconfirmed {
        self.metrics.unconfirmed.inc();
        let agreed = self.quorum.agreed();
        info!(self.log, "no quorum for a read"; "read" => read, "applied" => agreed.applied,
            "leader" => agreed.leader.as_ref().map(|one| one.address.to_string()));
        Unconfirmed
    }

    /// Answers another process.
    async fn answer(self: Rc<Self>, request: Request) -> Answer {
        match request {
            Request::Log(identity, messages) => {
                self.peers.note(&identity);
                self.log_handle.messages(messages);
                Answer::Done
            }
            Request::Join(identity) => {
                let agreed = self.quorum.agreed();
                match agreed.leader.as_ref().filter(|leader| leader.id != agreed.id) {
                    // Only a request from the joiner itself is passed on, so it can't circle.
                    Some(leader) if self.peers.heard(identity.id).is_none() => {
                        if let Some(client) = self.peers.client(&leader.address) {
                            client.notify(Request::Join(identity), NEWS_LIMIT);
                        }
                    }
                    _ => self.joiners.note(identity),
                }
                Answer::Done
            }
            Request::Announced(announcements) => {
                let mut directory = self.directory.borrow_mut();
                let outcomes: Vec<_> =
                    announcements.into_iter().map(|one| directory.announce(one)).collect();
                if outcomes.contains(&Some(true)) {
                    self.directory_changed.notify_waiters();
                }
                Answer::Done
            }
            Request::Deregistered(id, incarnation) => {
                self.directory.borrow_mut().leave(&id, incarnation);
                self.directory_changed.notify_waiters();
                Answer::Done
            }
            Request::Propose(command) => self.quorum.propose_here(command).await,
            Request::ReadIndex => self.quorum.read_here().await,
            Request::Poll(follow) => follow::answer(self, *follow).await,
            Request::ReportLoad(post) => {
                Answer::TotalLoads(self.board.borrow_mut().post(*post, boot_time()))
            }
        }
    }
}

impl Handler for Control {
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> + 'static {
        self.answer(request)
    }
}
