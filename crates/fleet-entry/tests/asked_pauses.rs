//! Endpoints that ask for a pause in their refusals, and many entries at endpoints that leave or ask
//! for pauses. Requests are counted at the endpoints.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;
#[path = "common/harness.rs"]
mod harness;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::announcement;
use common::configuration;
use common::confirmed;
use futures_util::future::join_all;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::call;
use harness::header;
use harness::send;
use harness::serve;
use harness::serve_with_state;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const PAUSED_600: &str =
    "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\npause: 600\r\ncontent-length: 0\r\n\r\n";
const PAUSED_200: &str =
    "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\npause: 200\r\ncontent-length: 0\r\n\r\n";
const PAUSED_4000: &str =
    "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\npause: 4000\r\ncontent-length: 0\r\n\r\n";

fn service_time() -> Action {
    Action::Pause(Duration::from_millis(40))
}

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(GOOD)]]).await
}

/// An endpoint that refuses its first request with a pause.
async fn pausing(refusal: &'static str) -> Endpoint {
    let refusal = vec![Action::Write(refusal)];
    Endpoint::start(vec![refusal, vec![service_time(), Action::Write(GOOD)]]).await
}

/// Guards against requests within a pause, an endpoint that stays unused after it, and a pause that
/// counts as a failure of the endpoint or its version.
#[tokio::test]
async fn endpoint_gets_no_requests_until_its_pause_ends() {
    LocalSet::new()
        .run_until(async {
            let (first, other) = (pausing(PAUSED_600).await, good().await);
            let (served, entry) = serve_with_state(&[&first, &other]).await;
            let began = boot_time();
            let mut sent = 0;

            while boot_time() < began + Duration::from_millis(250) {
                sent += 1;
                let answer = call(&served, ONCE, &format!("r{sent}")).await;
                assert_eq!(status(&answer), 200, "{answer}");
            }
            let within_the_pause = (first.count(), other.count());
            let endpoint = Rc::clone(&entry.directory.borrow().for_service("service")[0]);
            wait_until("the pause ends", || !endpoint.availability().is_paused(boot_time())).await;
            call(&served, ONCE, "last").await;

            assert_eq!(within_the_pause, (1, sent));
            assert_eq!(first.count(), 2);
            assert!(endpoint.failure_share() < f64::EPSILON);
            assert_eq!(entry.metrics.paused.get(), 0);
            let tallies =
                entry.tallies.borrow().for_services(&[Name::from("service")], boot_time());
            assert!(tallies.iter().all(|tally| tally.failed == 0), "{tallies:?}");
        })
        .await;
}

/// Guards against a write to an endpoint whose pause began while the connection was being opened.
#[tokio::test]
async fn request_that_waits_for_a_connection_is_sent_elsewhere() {
    LocalSet::new()
        .run_until(async {
            let (first, second) = (good().await, good().await);
            let (served, entry) = serve_with_state(&[&first, &second]).await;
            let pause = async {
                while entry.metrics.connections.get() == 0 {
                    tokio::task::yield_now().await;
                }
                let directory = entry.directory.borrow();
                let chosen = directory.at_address(first.address).next().expect("it is known");
                chosen.record_pause(Duration::from_secs(9));
            };

            let (answer, ()) = tokio::join!(call(&served, ONCE, "r1"), pause);

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!((first.count(), second.count()), (0, 1));
            assert!(entry.metrics_text().contains("hickoryreel_entry_asked_pauses 1"));
        })
        .await;
}

/// Guards against refusing requests although the pause ends in time for them, and against sending
/// all of them at once when it ends.
#[tokio::test]
async fn requests_wait_for_the_end_of_a_short_pause() {
    LocalSet::new()
        .run_until(async {
            let endpoint = pausing(PAUSED_200).await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            let mut configuration = configuration(2);
            configuration.routes.iter_mut().for_each(|route| route.target_ms = 19_000);
            entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
            let refused = call(&served, ONCE, "r0").await;
            let ids: Vec<String> = (1..=20).map(|number| format!("r{number}")).collect();
            let calls = join_all(ids.iter().map(|id| call(&served, ONCE, id)));
            let counts = async {
                tokio::time::sleep(Duration::from_millis(150)).await;
                let within_the_pause = endpoint.count();
                wait_until("a request follows", || endpoint.count() > 1).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
                (within_the_pause, endpoint.count())
            };

            let (answers, counts) = tokio::join!(calls, counts);

            assert_eq!(status(&refused), 503, "{refused}");
            assert_eq!(counts, (1, 3));
            let statuses: Vec<u16> = answers.iter().map(|answer| status(answer)).collect();
            assert_eq!(statuses, [200; 20]);
        })
        .await;
}

/// Guards against an endpoint that stays unused because the first requests after its pause were
/// cancelled.
#[tokio::test]
async fn cancelled_requests_keep_no_place_on_trial() {
    LocalSet::new()
        .run_until(async {
            let scripts = vec![
                vec![Action::Write(PAUSED_200)],
                vec![Action::Hang],
                vec![Action::Hang],
                vec![Action::Write(GOOD)],
            ];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;
            call(&served, ONCE, "r0").await;
            let head = format!("POST {ONCE}x HTTP/1.1\r\nhost: host\r\nkey: key\r\n");
            let requests = ["r1", "r2"].map(|id| format!("{head}id: {id}\r\n\r\n"));
            let clients = join_all(requests.iter().map(|request| send(&served, request))).await;
            wait_until("the requests arrive", || endpoint.count() == 3).await;

            drop(clients);
            // The connection of the refused request is closed, too.
            wait_until("they are cancelled", || *endpoint.closed.borrow() == 3).await;
            let answer = call(&served, ONCE, "r3").await;

            assert_eq!((status(&answer), endpoint.count()), (200, 4), "{answer}");
        })
        .await;
}

/// Guards against a wait for a pause that ends too late, and against clients that come back before
/// its end or all together.
#[tokio::test]
async fn request_is_refused_at_once_when_all_pauses_are_long() {
    LocalSet::new()
        .run_until(async {
            let endpoint = pausing(PAUSED_4000).await;
            let served = serve(&[&endpoint]).await;
            call(&served, SAFE, "r0").await;
            let began = boot_time();
            let ids: Vec<String> = (1..=20).map(|number| format!("r{number}")).collect();

            let answers = join_all(ids.iter().map(|id| call(&served, SAFE, id))).await;

            let took = boot_time().saturating_sub(began);
            assert!(took < Duration::from_secs(3), "{took:?}");
            assert_eq!(endpoint.count(), 1);
            let mut delays: Vec<f64> = answers
                .iter()
                .map(|answer| {
                    assert_eq!(status(answer), 503, "{answer}");
                    header(answer, "retry-after").expect("it may come back").parse().expect("f64")
                })
                .collect();
            delays.sort_by(f64::total_cmp);
            assert!(delays[0] >= 4.0 - took.as_secs_f64() && delays[19] <= 6.0, "{delays:?}");
            assert!(delays[19] - delays[0] > 0.1, "{delays:?}");
        })
        .await;
}

const ENTRIES: usize = 8;
const ENDPOINTS: usize = 12;

/// Pause for which a stand-in asks.
const ASKED_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after a pause began, or after the head that says that an endpoint leaves, in which requests
/// that were under way may arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// What a stand-in says in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Plain,
    Leaving,
    /// Asks an entry for a pause with every tenth request.
    Pausing,
}

/// A stand-in's record of one entry.
#[derive(Clone, Debug, Default)]
struct Caller {
    requests: usize,
    told_at: Option<Duration>,
    paused_at: Option<Duration>,
    /// Largest number of requests within one pause, after [`UNDER_WAY`].
    late: usize,
    max_late: usize,
    /// Requests after the end of a pause.
    returned: usize,
}

struct StandIn {
    address: SocketAddrV4,
    behaviour: Cell<Behaviour>,
    callers: RefCell<HashMap<String, Caller>>,
}

impl StandIn {
    async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
        let SocketAddr::V4(address) = listener.local_addr().expect("loopback works") else {
            unreachable!()
        };
        let behaviour = Cell::new(Behaviour::Plain);
        let stand_in = Rc::new(Self { address, behaviour, callers: RefCell::default() });
        let accepting = Rc::clone(&stand_in);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&accepting).answer_all(stream));
            }
        });
        stand_in
    }

    async fn answer_all(self: Rc<Self>, mut stream: TcpStream) {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else { return };
                head.push(byte);
            }
            let head = String::from_utf8(head).expect("requests are text");
            let length =
                header(&head, "content-length").map_or(0, |value| value.parse().expect("usize"));
            if stream.read_exact(&mut vec![0; length]).await.is_err() {
                return;
            }
            let id = header(&head, "id").expect("requests have an id");
            let (status, mark) = self.receive(id.split_once('-').expect("it names its entry").0);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let receipt = if status.starts_with("200") { "seal: s\r\n" } else { "" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nid: {id}\r\n{receipt}{mark}content-length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Counts a request of an entry. Returns the status and the headers of the answer.
    fn receive(&self, caller: &str) -> (&'static str, &'static str) {
        let now = boot_time();
        let mut callers = self.callers.borrow_mut();
        let caller = callers.entry(caller.to_owned()).or_default();
        caller.requests += 1;
        match self.behaviour.get() {
            Behaviour::Plain => ("200 OK", ""),
            Behaviour::Leaving => {
                let told_at = *caller.told_at.get_or_insert(now);
                caller.max_late += usize::from(now >= told_at + UNDER_WAY);
                ("200 OK", "leaving: 1\r\n")
            }
            Behaviour::Pausing => match caller.paused_at {
                Some(at) if now < at + ASKED_PAUSE => {
                    caller.late += usize::from(now >= at + UNDER_WAY);
                    caller.max_late = caller.max_late.max(caller.late);
                    ("503 Full", "not-run: 1\r\n")
                }
                _ if caller.requests.is_multiple_of(10) => {
                    (caller.paused_at, caller.late) = (Some(now), 0);
                    ("503 Full", "not-run: 1\r\npause: 1500\r\n")
                }
                paused_at => {
                    caller.returned += usize::from(paused_at.is_some());
                    ("200 OK", "")
                }
            },
        }
    }
}

/// Starts an entry that knows the stand-ins, all in its availability zone.
async fn serve_stand_ins(stand_ins: &[Rc<StandIn>]) -> (TestEntry, Rc<Entry>) {
    let (served, entry) = serve_with_state(&[]).await;
    for (number, stand_in) in stand_ins.iter().enumerate() {
        let announcement: Announcement = announcement(number, stand_in.address);
        let update = EndpointUpdate { announcement, status: Status::Present };
        entry.directory.borrow_mut().apply(update, SocketAddr::from(([127, 0, 0, 1], 7_000)));
    }
    (served, entry)
}

/// Sends 200 requests a second for 4 s. Returns the share that is answered in a second.
async fn load(served: &[(TestEntry, Rc<Entry>)]) -> f64 {
    let calls = (0..800_usize).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(5) * u32::try_from(number).expect("it is small"))
            .await;
        let (entry, began) = (number % ENTRIES, boot_time());
        let answer = call(&served[entry].0, SAFE, &format!("e{entry}-r{number}")).await;
        let in_time = boot_time().saturating_sub(began) < Duration::from_secs(1);
        f64::from(u8::from(status(&answer) == 200 && in_time))
    });
    join_all(calls).await.into_iter().sum::<f64>() / 800.0
}

/// Guards against requests to endpoints that have said that they leave, or in their pauses, under
/// the load of eight entries, and against callers that are refused although others have room.
#[tokio::test]
async fn endpoints_that_leave_or_pause_are_spared_under_load() {
    LocalSet::new()
        .run_until(async {
            let mut stand_ins = Vec::new();
            for _ in 0..ENDPOINTS {
                stand_ins.push(StandIn::start().await);
            }
            let mut served = Vec::new();
            for _ in 0..ENTRIES {
                served.push(serve_stand_ins(&stand_ins).await);
            }

            let without_marks = load(&served).await;
            for (number, stand_in) in stand_ins.iter().enumerate() {
                stand_in.behaviour.set(match number % 3 {
                    0 => Behaviour::Leaving,
                    1 => Behaviour::Pausing,
                    _ => Behaviour::Plain,
                });
            }
            let with_marks = load(&served).await;

            println!("share in time: {without_marks} without marks, {with_marks} with marks");
            for stand_in in &stand_ins {
                let (behaviour, callers) = (stand_in.behaviour.get(), stand_in.callers.borrow());
                let late: usize = callers.values().map(|caller| caller.max_late).sum();
                assert_eq!(late, 0, "{behaviour:?} {callers:?}");
            }
            let callers = |behaviour| {
                let of_kind =
                    stand_ins.iter().filter(move |kind| kind.behaviour.get() == behaviour);
                of_kind.flat_map(|stand_in| stand_in.callers.borrow().clone().into_values())
            };
            assert!(
                callers(Behaviour::Leaving).filter(|caller| caller.told_at.is_some()).count() > 8
            );
            assert!(callers(Behaviour::Pausing).any(|caller| caller.returned > 0));
            assert!(with_marks >= without_marks - 0.02, "{with_marks} {without_marks}");
        })
        .await;
}
