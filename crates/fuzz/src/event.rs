//! Random events at operators, entries, endpoints and the network.
//!
//! Events consist of small integers and flags, which proptest shrinks well.

use hickoryreel_state::command::FULL_PACE;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;

/// Number of versions in each fuzzed bundle.
pub const VERSIONS: u8 = 3;

/// Number of workspaces in each fuzzed bundle.
pub const WORKSPACES: u8 = 2;

/// Number of simulated entries.
pub const ENTRIES: u8 = 3;

/// Versions that each workspace may use: one bit set of version numbers per workspace.
pub type Allowed = [u8; WORKSPACES as usize];

/// One event. A `pick` is an index into the existing items that the event can apply to, modulo
/// their number.
#[derive(Clone, Debug)]
pub enum Event {
    /// This many milliseconds pass.
    Wait(u16),
    /// A leader whose clock is off by this many milliseconds proposes the following commands.
    Skew(i16),
    /// An operator writes, based on a revision that is `lag` behind the newest. With `reuse`, the
    /// write has the request id of the newest write.
    Write { operator: u8, lag: u8, reuse: bool, write: Write },
    /// Two operators put a bundle into force: they submit it, sign it off, start its roll-out and
    /// advance that to 100%. `restores` is as in [`Write::Submit`].
    Publish { allowed: Allowed, restores: Option<bool> },
    /// A duplicate of an earlier operator write arrives.
    Resend(u8),
    /// A controller enters a step of the roll-out; the number is added to that of the current step.
    Step(u8),
    /// A controller sets the pace of the step that is `ahead` steps after the current one.
    Pace { ahead: u8, parts: u8 },
    /// A caller's request arrives at an entry.
    Request(Request),
    /// A batch of record changes reaches the log. With `keep`, they also stay in the network and
    /// can arrive again. Without `answered`, the answer to the entry is lost.
    Deliver { picks: Vec<u8>, keep: bool, answered: bool },
    /// A dispatch advances by up to `phases` phases: sent, running, finished.
    Proceed { pick: u8, phases: u8 },
    /// A request that was sent to an endpoint is lost, so its run never starts.
    Lose(u8),
    /// An entry closes the record of a dispatch according to its phase. With `ended`, only
    /// dispatches whose run finished or can never start are picked.
    Close { pick: u8, ended: bool },
    /// An entry moves the open record of a repeatable request to a version.
    Move { pick: u8, version: u8 },
    /// An entry crashes.
    Kill(u8),
    /// The leader declares an entry's lease lapsed; the entry may still be running.
    Lapse(u8),
    /// An entry restarts with its next incarnation.
    Restart(u8),
    /// Control settles an open record of a lapsed holder; with `hasty`, the record of a holder that
    /// has not lapsed can be picked too. Without `reachable`, control can't reach the endpoint.
    Settle { pick: u8, reachable: bool, hasty: bool },
    /// A controller takes the next fencing token.
    TakeFence,
    /// A controller changes the order lease or an order.
    Order { controller: u8, order: Order },
    /// The limits change to the wide ones (`true`) or the narrow ones.
    Limits(bool),
    /// The machine is replaced by one restored from its snapshot.
    Snapshot,
}

/// A write by an operator.
#[derive(Clone, Debug)]
pub enum Write {
    /// Submits a bundle. With `restores`, the bundle restores every version that was ever withdrawn
    /// and names its newest withdrawal (`true`) or an earlier revision (`false`), which is refused.
    Submit { allowed: Allowed, restores: Option<bool> },
    /// Submits a text that is not a valid bundle.
    SubmitFaulty,
    /// Signs off the bundle whose id is `back` below the newest.
    SignOff { back: u8 },
    /// Starts the roll-out of the bundle whose id is `back` below the newest.
    RollOut { back: u8 },
    /// Advances the running roll-out.
    Advance { percent: u8 },
    /// Pauses the running roll-out.
    Pause,
    /// Resumes the running roll-out.
    Resume,
    /// Reverts to the content of the bundle whose id is `back` below the newest.
    Revert { back: u8 },
    /// Withdraws a version. The number [`VERSIONS`] stands for a version that is in no bundle.
    Withdraw { version: u8 },
}

/// A caller's request or resend.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id; every third one is a run-once request.
    pub id: u8,
    pub workspace: u8,
    /// The entry that the request arrives at.
    pub entry: u8,
    /// The version that the entry chooses, unless the request is run-once.
    pub version: u8,
    pub session: Option<u8>,
    /// Number of revisions that the entry's configuration is behind the newest.
    pub lag: u8,
    /// Whether the request has a body other than the usual one of its request id.
    pub is_other: bool,
}

/// A change of the order lease or of an order.
#[derive(Clone, Debug)]
pub enum Order {
    /// Takes or renews the lease.
    Lease,
    /// Releases the lease.
    Release,
    /// Sends an order with this body.
    Send(u8),
    /// Reports an order as done; its fencing token is derived from this number.
    End(u8),
}

/// Generates any event.
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
    // Few request ids, so that most requests are resends.
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
