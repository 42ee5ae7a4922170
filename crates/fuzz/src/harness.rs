//! Applies events to the real machine and compares it with the oracle.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hickoryreel_state::command::Command;
use hickoryreel_state::machine::Machine;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::answer::Answer;
use crate::event;
use crate::event::Event;
use crate::ledger::Ledger;
use crate::world::World;

/// Steps applied to the machine in this process.
pub static STEPS: AtomicU64 = AtomicU64::new(0);

/// Checks made in this process.
pub static CHECKS: AtomicU64 = AtomicU64::new(0);

/// Answers of the machine in this process, by label.
pub static ANSWERS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// The world as the reference of the test.
#[derive(Debug)]
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = World;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<World> {
        Just(World::start()).boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Event> {
        event::strategy()
    }

    fn apply(mut world: World, event: &Event) -> World {
        world.happen(event);
        world
    }
}

/// The machine under test.
#[derive(Debug, Default)]
pub struct Subject {
    machine: Machine,
    ledger: Ledger,
    history: Vec<Command>,
    answers: BTreeMap<String, u64>,
}

impl Subject {
    /// Applies what an event led to.
    pub fn follow(&mut self, world: &World) {
        let effect = &world.effect;
        if effect.is_snapshot {
            self.restore();
        }
        for (command, expected) in &effect.commands {
            self.apply(command, expected);
        }
        for start in &effect.starts {
            self.ledger.note_start(start);
        }
    }

    fn apply(&mut self, command: &Command, expected: &Answer) {
        let before = self.machine.config().clone();
        self.history.push(command.clone());
        let outcome = self.machine.apply(self.history.len() as u64, command);
        self.ledger.note(&before, command, &outcome, &self.machine);
        assert_eq!(Answer::from(&outcome), *expected, "oracle, for {command:?}");
        for label in expected.labels() {
            *self.answers.entry(label).or_default() += 1;
        }
    }

    fn restore(&mut self) {
        let restored = Machine::restore(&self.machine.snapshot()).expect("the snapshot is read");
        assert_eq!(restored.digest(), self.machine.digest(), "digest of the restored machine");
        self.machine = restored;
    }

    /// A replica that applies the whole log, without snapshots, has the same state.
    fn check_replay(&self) {
        let mut replica = Machine::default();
        for (index, command) in self.history.iter().enumerate() {
            replica.apply(index as u64 + 1, command);
        }
        assert_eq!(replica.digest(), self.machine.digest(), "digest after a replay");
    }
}

/// The test: oracle against machine.
#[derive(Debug)]
pub struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Subject;
    type Reference = Reference;

    fn init_test(world: &World) -> Subject {
        let mut subject = Subject::default();
        subject.follow(world);
        subject
    }

    fn apply(mut subject: Subject, world: &World, _: Event) -> Subject {
        subject.follow(world);
        STEPS.fetch_add(1, Ordering::Relaxed);
        subject
    }

    fn teardown(subject: Subject, _: World) {
        subject.check_replay();
        CHECKS.fetch_add(subject.ledger.checks, Ordering::Relaxed);
        // A poisoned lock only means that another thread's case failed; the counts stay usable.
        let mut answers = ANSWERS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (label, count) in subject.answers {
            *answers.entry(label).or_default() += count;
        }
    }
}

/// Applies `events` to a new world and machine; panics when a check fails.
pub fn replay(events: &[Event]) {
    let mut world = World::start();
    let mut subject = Test::init_test(&world);
    for event in events {
        world.happen(event);
        subject.follow(&world);
    }
    Test::teardown(subject, world);
}
