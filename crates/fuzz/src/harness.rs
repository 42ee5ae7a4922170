//! Applies events to the real machine and compares its answers with the oracle's.

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
use crate::invariants::Checker;
use crate::world::World;

/// Number of events applied to machines in this process.
pub static STEPS: AtomicU64 = AtomicU64::new(0);

/// Number of checks of guarantees in this process, in cases that passed.
pub static CHECKS: AtomicU64 = AtomicU64::new(0);

/// Number of answers of the machine in this process by label, in cases that passed. Labels come
/// from [`Answer::labels`].
pub static ANSWER_COUNTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// The [`World`], with its oracle, as the reference state machine of the test.
#[derive(Debug)]
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = World;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<World> {
        Just(World::with_initial_bundle()).boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Event> {
        event::strategy()
    }

    fn apply(mut world: World, event: &Event) -> World {
        world.apply(event);
        world
    }
}

/// The machine under test.
#[derive(Debug, Default)]
pub struct Subject {
    machine: Machine,
    checker: Checker,
    history: Vec<Command>,
    answer_counts: BTreeMap<String, u64>,
}

impl Subject {
    /// Applies the effect of the newest event.
    pub fn apply_effect(&mut self, world: &World) {
        let effect = &world.effect;
        if effect.is_snapshot {
            self.restore();
        }
        for (command, expected) in &effect.commands {
            self.apply(command, expected);
        }
        for start in &effect.starts {
            self.checker.check_start(start);
        }
    }

    fn apply(&mut self, command: &Command, expected: &Answer) {
        let before = self.machine.config().clone();
        self.history.push(command.clone());
        let outcome = self.machine.apply(self.history.len() as u64, command);
        self.checker.check_command(&before, command, &outcome, &self.machine);
        assert_eq!(Answer::from(&outcome), *expected, "machine and oracle differ on {command:?}");
        for label in expected.labels() {
            *self.answer_counts.entry(label).or_default() += 1;
        }
    }

    fn restore(&mut self) {
        let restored = Machine::restore(&self.machine.snapshot())
            .expect("the machine's own snapshot can be restored");
        assert_eq!(
            restored.digest(),
            self.machine.digest(),
            "digest of the machine after a restore"
        );
        self.machine = restored;
    }

    /// Checks that a replica that applies the whole log without snapshots reaches the same state.
    fn check_replay(&self) {
        let mut replica = Machine::default();
        for (index, command) in self.history.iter().enumerate() {
            replica.apply(index as u64 + 1, command);
        }
        assert_eq!(replica.digest(), self.machine.digest(), "digest of the machine after a replay");
    }
}

/// The test that compares the machine with the oracle.
#[derive(Debug)]
pub struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Subject;
    type Reference = Reference;

    fn init_test(world: &World) -> Subject {
        let mut subject = Subject::default();
        subject.apply_effect(world);
        subject
    }

    fn apply(mut subject: Subject, world: &World, _: Event) -> Subject {
        subject.apply_effect(world);
        STEPS.fetch_add(1, Ordering::Relaxed);
        subject
    }

    fn teardown(subject: Subject, _: World) {
        subject.check_replay();
        CHECKS.fetch_add(subject.checker.checks, Ordering::Relaxed);
        // A poisoned lock means that a case of another thread failed; the counts are still valid.
        let mut counts = ANSWER_COUNTS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (label, count) in subject.answer_counts {
            *counts.entry(label).or_default() += count;
        }
    }
}

/// Applies `events` to a new world and a new machine. Panics if a check fails.
pub fn replay(events: &[Event]) {
    let mut world = World::with_initial_bundle();
    let mut subject = Test::init_test(&world);
    for event in events {
        world.apply(event);
        subject.apply_effect(&world);
    }
    Test::teardown(subject, world);
}
