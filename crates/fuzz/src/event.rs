//! What operators, entries, endpoints and the network do, as small numbers that shrink well.

use hickoryreel_state::command::FULL_PACE;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;

/// Versions in the fuzzed bundles.
pub const VERSIONS: u8 = 3;

/// Workspaces in the fuzzed bundles.
pub const WORKSPACES: u8 = 2;

/// Entries.
pub const ENTRIES: u8 = 3;

/// Versions that each workspace may use, as a bit set.
pub type Allowed = [u8; WORKSPACES as usize];

/// One event. A `pick` selects among what exists, modulo its number.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// The next commands are proposed by a leader whose clock differs by this many milliseconds.
    Skew(i16),
    /// An operator writes, based on the revision that is `lag` older than the newest. `reuse`
    /// takes the request id of the newest write.
    Write { operator: u8, lag: u8, reuse: bool, write: Write },
    /// Two operators put a bundle into force: submit, sign-off, roll-out and its end.
    Publish { allowed: Allowed, restores: Option<bool> },
    /// An earlier operator write arrives again.
    Resend(u8),
    /// A controller enters the step after the present one, or another one.
    Step(u8),
    /// A controller sets the pace of the present step, or of another one.
    Pace { ahead: u8, parts: u8 },
    /// A caller's request arrives at an entry.
    Request(Request),
    /// Record changes reach the log. `keep` leaves them in the network to arrive again; without
    /// `answered` the entry doesn't hear the answer.
    Deliver { picks: Vec<u8>, keep: bool, answered: bool },
    /// A dispatch proceeds by some phases: sent, running, finished.
    Proceed { pick: u8, phases: u8 },
    /// A sent message is lost for good before the endpoint starts the run.
    Lose(u8),
    /// An entry closes the record of a dispatch by what it knows; `ended` chooses among those
    /// whose run finished or never starts.
    Close { pick: u8, ended: bool },
    /// An entry moves an open repeatable request to another version.
    Move { pick: u8, version: u8 },
    /// An entry dies.
    Kill(u8),
    /// An entry's lease lapses; it may still live.
    Lapse(u8),
    /// An entry starts its next life.
    Restart(u8),
    /// Control settles a record of a lapsed holder; `hasty` also takes those that have not lapsed.
    Settle { pick: u8, reachable: bool, hasty: bool },
    /// A controller takes a fencing number.
    TakeFence,
    /// A controller changes the order lease or an order.
    Order { controller: u8, order: Order },
    /// The limits change.
    Limits(bool),
    /// The machine is replaced by the one restored from its snapshot.
    Snapshot,
}

/// A write by an operator.
#[derive(Clone, Debug)]
pub enum Write {
    /// Submits a bundle; `restores` names the newest withdrawal of each version, or older ones.
    Submit { allowed: Allowed, restores: Option<bool> },
    /// Submits a text that is no bundle.
    SubmitFaulty,
    /// Signs off the bundle that is `back` older than the newest.
    SignOff { back: u8 },
    /// Rolls a bundle out.
    RollOut { back: u8 },
    /// Advances the running roll-out.
    Advance { percent: u8 },
    /// Pauses the running roll-out.
    Pause,
    /// Resumes the running roll-out.
    Resume,
    /// Reverts to a bundle.
    Revert { back: u8 },
    /// Withdraws a version.
    Withdraw { version: u8 },
}

/// A caller's request or resend.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id; each third one is run-once.
    pub id: u8,
    /// Workspace.
    pub workspace: u8,
    /// The entry it arrives at.
    pub entry: u8,
    /// Version the entry chooses.
    pub version: u8,
    /// Session.
    pub session: Option<u8>,
    /// How far the entry's revision is behind the newest.
    pub lag: u8,
    /// Whether the request id was used with another body.
    pub is_other: bool,
}

/// A change of the order lease or of an order.
#[derive(Clone, Debug)]
pub enum Order {
    /// Takes or renews the lease.
    Lease,
    /// Gives the lease back.
    Release,
    /// Sends an order.
    Send(u8),
    /// Ends the order with this number.
    End(u8),
}

/// Any event.
pub fn strategy() -> BoxedStrategy<Event> {
    let byte = || any::<u8>();
    let operator = prop_oneof![4 => Just(0u8), 4 => Just(1), 1 => Just(2)];
    let lag = prop_oneof![6 => Just(0u8), 1 => 1..3u8];
    prop_oneof![
        3 => (0..8_000u16).prop_map(Event::Wait),
        1 => (-4_000..4_000i16).prop_map(Event::Skew),
        8 => (operator, lag, prop::bool::weighted(0.03), write()).prop_map(
            |(operator, lag, reuse, write)| Event::Write { operator, lag, reuse, write }
        ),
        2 => (allowed(), restores())
            .prop_map(|(allowed, restores)| Event::Publish { allowed, restores }),
        1 => byte().prop_map(Event::Resend),
        2 => (0..3u8).prop_map(Event::Step),
        1 => (0..2u8, 0..=FULL_PACE + 1).prop_map(|(ahead, parts)| Event::Pace { ahead, parts }),
        12 => request().prop_map(Event::Request),
        14 => (proptest::collection::vec(byte(), 1..4), prop::bool::weighted(0.25), prop::bool::weighted(0.9))
            .prop_map(|(picks, keep, answered)| Event::Deliver { picks, keep, answered }),
        10 => (byte(), 1..4u8).prop_map(|(pick, phases)| Event::Proceed { pick, phases }),
        3 => byte().prop_map(Event::Lose),
        8 => (byte(), prop::bool::weighted(0.7))
            .prop_map(|(pick, ended)| Event::Close { pick, ended }),
        2 => (byte(), 0..VERSIONS).prop_map(|(pick, version)| Event::Move { pick, version }),
        1 => (0..ENTRIES).prop_map(Event::Kill),
        2 => (0..ENTRIES).prop_map(Event::Lapse),
        6 => (0..ENTRIES).prop_map(Event::Restart),
        5 => (byte(), any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, reachable, hasty)| Event::Settle { pick, reachable, hasty }),
        1 => Just(Event::TakeFence),
        3 => (0..2u8, order()).prop_map(|(controller, order)| Event::Order { controller, order }),
        1 => any::<bool>().prop_map(Event::Limits),
        1 => Just(Event::Snapshot),
    ]
    .boxed()
}

fn allowed() -> impl Strategy<Value = Allowed> {
    proptest::array::uniform2(1..1u8 << VERSIONS)
}

fn restores() -> impl Strategy<Value = Option<bool>> {
    prop_oneof![2 => Just(None), 2 => Just(Some(true)), 1 => Just(Some(false))]
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => (allowed(), restores())
            .prop_map(|(allowed, restores)| Write::Submit { allowed, restores }),
        1 => Just(Write::SubmitFaulty),
        5 => (0..2u8).prop_map(|back| Write::SignOff { back }),
        5 => (0..2u8).prop_map(|back| Write::RollOut { back }),
        3 => prop_oneof![2 => Just(100u8), 1 => 0..101u8].prop_map(|percent| Write::Advance { percent }),
        1 => Just(Write::Pause),
        1 => Just(Write::Resume),
        1 => (0..4u8).prop_map(|back| Write::Revert { back }),
        2 => (0..VERSIONS + 1).prop_map(|version| Write::Withdraw { version }),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let lag = prop_oneof![5 => Just(0u8), 1 => 1..5u8];
    let session = proptest::option::of(0..3u8);
    // Few ids, so that most requests are resends.
    let id = prop_oneof![3 => 0..8u8, 3 => 0..60u8];
    (id, 0..WORKSPACES, 0..ENTRIES, 0..VERSIONS, session, lag, prop::bool::weighted(0.05)).prop_map(
        |(id, workspace, entry, version, session, lag, is_other)| Request {
            id,
            workspace,
            entry,
            version,
            session,
            lag,
            is_other,
        },
    )
}

fn order() -> impl Strategy<Value = Order> {
    prop_oneof![
        3 => Just(Order::Lease),
        1 => Just(Order::Release),
        3 => (0..3u8).prop_map(Order::Send),
        2 => any::<u8>().prop_map(Order::End),
    ]
}
