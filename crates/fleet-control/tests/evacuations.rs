//! Evacuations and admissions to endpoints that warm up, at replicas that are killed and restarted.
//!
//! Each replica has a thread with its own runtime, so that the end of it closes its connections and its
//! listener, as the end of a process does.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::FutureExt;
use futures_util::future::LocalBoxFuture;
use hickoryreel_base::logging;
use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::ColdDecision;
use hickoryreel_fleet::link::ColdRequest;
use hickoryreel_fleet::link::Cursor;
use hickoryreel_fleet::link::Poll;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::ADMISSION_VALIDITY;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet_control::cold_admission::Limit;
use hickoryreel_fleet_control::cold_admission::WINDOW;
use hickoryreel_fleet_control::control::Control;
use hickoryreel_fleet_control::control::Rejection;
use hickoryreel_fleet_control::run;
use hickoryreel_fleet_control::settings::Settings;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use yare::parameterized;

/// Time after which a test fails. A few elections take far less; the time itself is not under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which an order has an answer. Callers go on to another replica after 1 s; the rest allows
/// for a loaded machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_600);

/// Interval between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Requests that are admitted to one endpoint within [`WINDOW`].
const ADMISSIONS: usize = 3;

/// Port below those that the system gives to outgoing connections.
const LINK_PORT: u16 = 7_340;

const ZONE: &str = "south-a";

type Task = Box<dyn FnOnce(Rc<Control>) -> LocalBoxFuture<'static, ()> + Send>;

/// A replica that runs until it is killed.
struct Replica {
    address: SocketAddrV4,
    tasks: mpsc::UnboundedSender<Task>,
    process: JoinHandle<()>,
}

impl Replica {
    fn start(address: SocketAddrV4, seeds: &[SocketAddrV4], data_dir: &Path) -> Self {
        let (tasks, inbox) = mpsc::unbounded_channel();
        let settings = Settings {
            name: address.to_string(),
            link_address: address,
            seeds: seeds.to_vec(),
            bootstrap: true,
            data_dir: data_dir.to_owned(),
            zones: vec![ZONE.to_owned()],
            cold_limit: Limit { factor: 1.0, slack: ADMISSIONS as f64 },
            ..Settings::default()
        };
        Self { address, tasks, process: thread::spawn(|| run_replica(settings, inbox)) }
    }

    fn kill(self) {
        drop(self.tasks);
        self.process.join().expect("the replica ends");
    }

    /// Runs a function of the replica in its thread.
    async fn call<T: Send + 'static>(
        &self,
        function: impl FnOnce(Rc<Control>) -> LocalBoxFuture<'static, T> + Send + 'static,
    ) -> T {
        let (reply, result) = oneshot::channel();
        let task: Task = Box::new(|control| {
            let answer = async move {
                // The test may have ended meanwhile.
                let _ = reply.send(function(control).await);
            };
            answer.boxed_local()
        });
        assert!(self.tasks.send(task).is_ok(), "the replica runs");
        tokio::time::timeout(TEST_TIMEOUT, result).await.expect("it answers").expect("it runs")
    }

    async fn order(&self, zone: &'static str, evacuated: bool) -> Result<(), Rejection> {
        self.call(move |control| {
            async move { control.set_evacuation(zone, evacuated).await }.boxed_local()
        })
        .await
    }

    async fn leads(&self) -> bool {
        let leads = |control: Rc<Control>| {
            async move { control.consensus.state().role == Role::Leader }.boxed_local()
        };
        self.call(leads).await
    }

    /// Zones that an entry without any state learns from this replica; `None` without a quorum.
    async fn evacuated(&self) -> Option<Vec<String>> {
        let poll = Poll {
            entry: "entry".into(),
            incarnation: 1,
            configuration: 0,
            wants_configuration: false,
            revision: 0,
            cursor: Cursor::default(),
            wait_ms: 0,
            tallies: Vec::new(),
        };
        let client = client(self.address);
        let answer = client.call(Request::Poll(Box::new(poll)), Duration::from_secs(2)).await;
        let Some(Answer::Poll(answer)) = answer else { return None };
        let zones = answer.confirmed?.evacuated.unwrap_or_default();
        Some(zones.iter().map(|zone| zone.to_string()).collect())
    }

    async fn admit(&self) -> Option<Answer> {
        let endpoints = vec![EndpointKey::of("e1")];
        let request = ColdRequest { service: "drafts".into(), endpoints };
        client(self.address).call(Request::AdmitCold(request), ADMISSION_VALIDITY).await
    }
}

fn run_replica(settings: Settings, mut inbox: mpsc::UnboundedReceiver<Task>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let process = LocalSet::new();
    process.block_on(&runtime.expect("a runtime can be built"), async move {
        let (control, _failure) =
            run::start(settings, logging::discard()).await.expect("the replica starts");
        while let Some(task) = inbox.recv().await {
            spawn_local(task(Rc::clone(&control)));
        }
        // The thread of the log must be over before another one opens the files.
        let mut state = control.log_handle.state.clone();
        control.log_handle.stop();
        while state.changed().await.is_ok() {}
    });
}

fn client(address: SocketAddrV4) -> Client {
    Client::start(SocketAddr::V4(address), logging::discard())
}

/// Returns an address of this process alone. A port that the system chooses may be given to another
/// socket while the replica that had it is down.
fn own_address() -> SocketAddrV4 {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = COUNT.fetch_add(1, Ordering::Relaxed);
    SocketAddrV4::new(Ipv4Addr::new(127, high | 0x80, low, last), LINK_PORT)
}

/// Three replicas with their disks.
struct Cluster {
    seeds: Vec<SocketAddrV4>,
    data_dirs: Vec<TempDir>,
    replicas: Vec<Option<Replica>>,
}

impl Cluster {
    fn start() -> Self {
        let seeds: Vec<SocketAddrV4> = (0..3).map(|_| own_address()).collect();
        let new_dir = |_| TempDir::new().expect("a folder can be made");
        let data_dirs = seeds.iter().map(new_dir).collect();
        let mut cluster = Self { seeds, data_dirs, replicas: vec![None, None, None] };
        (0..3).for_each(|index| cluster.restart(index));
        cluster
    }

    fn restart(&mut self, index: usize) {
        let (address, data_dir) = (self.seeds[index], self.data_dirs[index].path());
        self.replicas[index] = Some(Replica::start(address, &self.seeds, data_dir));
    }

    fn kill(&mut self, index: usize) {
        self.replicas[index].take().expect("it runs").kill();
    }

    fn running(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().flatten()
    }

    fn replica(&self, index: usize) -> &Replica {
        self.replicas[index].as_ref().expect("it runs")
    }

    /// Waits for a leader and returns its index.
    async fn leader(&self) -> usize {
        let elected = async {
            loop {
                for (index, replica) in self.replicas.iter().enumerate() {
                    if let Some(replica) = replica
                        && replica.leads().await
                    {
                        return index;
                    }
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, elected).await.expect("a leader is elected")
    }

    /// Sends an order to one replica after the other until one acknowledges it.
    async fn order(&self, evacuated: bool) {
        let acknowledged = async {
            loop {
                for replica in self.running() {
                    match replica.order(ZONE, evacuated).await {
                        Ok(()) => return,
                        Err(Rejection::Unconfirmed) => tokio::time::sleep(RETRY_DELAY).await,
                        Err(rejection) => panic!("{rejection:?} of an order for a known zone"),
                    }
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, acknowledged).await.expect("the order is acknowledged");
    }

    /// Zones that an entry learns from each replica that runs.
    async fn evacuated(&self) -> Vec<Vec<String>> {
        let mut learned = Vec::new();
        for replica in self.running() {
            let known = async {
                loop {
                    if let Some(zones) = replica.evacuated().await {
                        return zones;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            };
            learned
                .push(tokio::time::timeout(TEST_TIMEOUT, known).await.expect("there is a quorum"));
        }
        learned
    }

    /// Puts a configuration in force with a service whose endpoints bear few requests until they have
    /// warmed up.
    async fn limit_cold_starts(&self) {
        let accepted = async {
            loop {
                for replica in self.running() {
                    let put = |control: Rc<Control>| {
                        let configuration = cold_start_configuration();
                        let put = async move {
                            control.put_configuration(configuration, Bytes::from_static(b"1")).await
                        };
                        put.boxed_local()
                    };
                    if replica.call(put).await.is_ok() {
                        return;
                    }
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, accepted).await.expect("the configuration is accepted");
    }

    /// Asks the replicas in turn until one admits a request. Returns when it did.
    async fn first_admission(&self) -> Duration {
        let admitted = async {
            loop {
                for replica in self.running() {
                    if is_admitted(replica.admit().await) {
                        return boot_time();
                    }
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, admitted).await.expect("a request is admitted")
    }
}

fn cold_start_configuration() -> Configuration {
    let services = vec![Service {
        name: "drafts".into(),
        health_path: "/".into(),
        max_connections: 1,
        engine: None,
        cold_start: Some(ColdStart { requests_per_s: 0.0, after_start: true }),
    }];
    Configuration { number: 1, services, ..Configuration::default() }
}

fn is_admitted(answer: Option<Answer>) -> bool {
    matches!(answer, Some(Answer::Cold(ColdDecision::Admitted(0))))
}

/// Guards against an acknowledged order that is lost with its leader, and against an order that can't be
/// repeated at another replica.
#[parameterized(
    at_the_leader = { true },
    at_a_follower = { false },
)]
#[test_macro(tokio::test)]
async fn evacuation_survives_the_leader_that_is_killed_meanwhile(at_leader: bool) {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start();
            let leader = cluster.leader().await;
            let asked = if at_leader { leader } else { (leader + 1) % 3 };
            let order = |control: Rc<Control>| {
                async move { control.set_evacuation(ZONE, true).await }.boxed_local()
            };
            let (reply, first) = oneshot::channel();
            let task: Task = Box::new(move |control| {
                let answer = async move {
                    // The test may have ended meanwhile.
                    let _ = reply.send(order(control).await);
                };
                answer.boxed_local()
            });
            assert!(cluster.replica(asked).tasks.send(task).is_ok());

            cluster.kill(leader);
            // The answer of a killed replica is lost.
            let first = tokio::time::timeout(ANSWER_LIMIT, first).await.expect("an answer in time");
            let is_acknowledged = matches!(first, Ok(Ok(())));
            if !is_acknowledged {
                cluster.order(true).await;
            }

            assert_eq!(cluster.evacuated().await, vec![vec![ZONE]; 2]);
            cluster.restart(leader);
            assert_eq!(cluster.evacuated().await, vec![vec![ZONE]; 3]);
        })
        .await;
}

/// Guards against a replica without a quorum that acknowledges an order or keeps its caller waiting, and
/// against a known zone that it calls unknown.
#[tokio::test]
async fn evacuation_is_not_acknowledged_without_a_quorum() {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start();
            let leader = cluster.leader().await;
            let others = [(leader + 1) % 3, (leader + 2) % 3];
            others.iter().for_each(|index| cluster.kill(*index));

            let ordered = cluster.replica(leader).order(ZONE, true);
            let ordered =
                tokio::time::timeout(ANSWER_LIMIT, ordered).await.expect("an answer in time");
            let unknown = cluster.replica(leader).order("elsewhere", true).await;
            others.iter().for_each(|index| cluster.restart(*index));
            cluster.order(true).await;

            assert_eq!(ordered, Err(Rejection::Unconfirmed));
            assert_eq!(unknown, Err(Rejection::UnknownZone));
            assert_eq!(cluster.evacuated().await, vec![vec![ZONE]; 3]);
        })
        .await;
}

/// Guards against an order that a replica takes for a late copy because it has not applied the earlier
/// ones yet: each goes to another replica right after the acknowledgement of the one before.
#[tokio::test]
async fn orders_in_quick_succession_take_effect_in_their_order() {
    LocalSet::new()
        .run_until(async {
            let cluster = Cluster::start();
            cluster.leader().await;
            cluster.order(false).await;

            for round in 0..20 {
                let evacuated = round % 2 == 0;
                let ordered = cluster.replica(round % 3).order(ZONE, !evacuated).await;
                let next = cluster.replica((round + 1) % 3).order(ZONE, evacuated).await;
                let repeated = cluster.replica((round + 2) % 3).order(ZONE, evacuated);

                assert_eq!((ordered, next), (Ok(()), Ok(())), "round {round}");
                let expected: &[&str] = if evacuated { &[ZONE] } else { &[] };
                assert_eq!(cluster.evacuated().await, vec![expected; 3], "round {round}");
                assert_eq!(repeated.await, Ok(()), "round {round}");
                assert_eq!(cluster.evacuated().await, vec![expected; 3], "round {round}");
            }
        })
        .await;
}

/// Guards against an evacuation, or the end of one, that is forgotten when all VMs lose their power.
#[parameterized(
    evacuated = { &[true], &[ZONE] },
    evacuated_again = { &[true, false, true], &[ZONE] },
    ended = { &[true, false], &[] },
)]
#[test_macro(tokio::test)]
async fn evacuation_survives_a_restart_of_all_replicas(
    orders: &'static [bool],
    expected: &'static [&'static str],
) {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start();
            for evacuated in orders {
                cluster.order(*evacuated).await;
            }

            (0..3).for_each(|index| cluster.kill(index));
            (0..3).for_each(|index| cluster.restart(index));

            assert_eq!(cluster.evacuated().await, vec![expected; 3]);
        })
        .await;
}

/// Guards against a limit that each replica applies for itself, and against followers that admit nothing.
#[tokio::test]
async fn admissions_of_all_replicas_stay_within_one_limit() {
    LocalSet::new()
        .run_until(async {
            let cluster = Cluster::start();
            cluster.limit_cold_starts().await;
            cluster.leader().await;
            let begun = cluster.first_admission().await;

            let mut admitted = 1;
            for number in 0..4 * ADMISSIONS {
                admitted += usize::from(is_admitted(cluster.replica(number % 3).admit().await));
            }

            assert!(boot_time() - begun < WINDOW, "the machine is too slow for this test");
            assert_eq!(admitted, ADMISSIONS);
        })
        .await;
}

/// Guards against a new leader that admits requests while those that its predecessor admitted still
/// arrive, and against one that never admits any. The old leader may be back at once, without its memory.
#[parameterized(
    stays_down = { false },
    restarts = { true },
)]
#[test_macro(tokio::test)]
async fn new_leader_waits_for_the_admissions_of_the_old_one(restarts: bool) {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start();
            cluster.limit_cold_starts().await;
            cluster.first_admission().await;
            let leader = cluster.leader().await;

            let killed_at = boot_time();
            cluster.kill(leader);
            if restarts {
                cluster.restart(leader);
            }
            let next = cluster.first_admission().await;

            assert!(next >= killed_at + WINDOW, "{:?}", next - killed_at);
        })
        .await;
}

/// Guards against a leader that goes on admitting requests after it has lost its quorum: another one may
/// have been elected.
#[tokio::test]
async fn leader_without_a_quorum_admits_nothing() {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start();
            cluster.limit_cold_starts().await;
            cluster.first_admission().await;
            let leader = cluster.leader().await;

            cluster.kill((leader + 1) % 3);
            cluster.kill((leader + 2) % 3);
            let until = boot_time() + 2 * WINDOW;
            let mut answers = 0;
            while boot_time() < until {
                let answer = cluster.replica(leader).admit().await;
                assert!(!is_admitted(answer.clone()), "{answer:?}");
                answers += u32::from(answer.is_some());
                tokio::time::sleep(RETRY_DELAY).await;
            }

            assert!(answers > 0, "the replica refuses");
        })
        .await;
}

/// Guards against a replica that admits requests although it does not lead, because an earlier leader
/// passes a question on to it.
#[tokio::test]
async fn follower_admits_nothing_itself() {
    LocalSet::new()
        .run_until(async {
            let cluster = Cluster::start();
            cluster.limit_cold_starts().await;
            cluster.first_admission().await;
            let follower = cluster.replica((cluster.leader().await + 1) % 3);
            tokio::time::sleep(WINDOW).await;

            let endpoints = vec![EndpointKey::of("e1")];
            let request = ColdRequest { service: "drafts".into(), endpoints };
            let asked = Request::ForwardedAdmitCold(request);
            let answer = client(follower.address).call(asked, TEST_TIMEOUT).await;

            assert!(matches!(answer, Some(Answer::Refused)), "{answer:?}");
        })
        .await;
}
