//! Long polls of the entries for the replicated state and the directory.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet::link::Poll;
use hickoryreel_fleet::link::PollAnswer;

use crate::control::Control;
use crate::replicated_log::ReplicaState;

/// Time that a poll waits for the quorum when the directory has not changed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that a poll waits for the quorum when the directory has changed. The update of an endpoint
/// that drains or deregisters must not wait for an election.
const CHANGED_CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Time since its latest poll after which an entry is no longer counted.
const POLL_MAX_AGE: Duration = Duration::from_secs(3);

/// Entries that poll this replica, with the time of their latest poll.
#[derive(Default)]
pub struct PollingEntries(HashMap<Name, Duration>);

impl PollingEntries {
    /// Records a poll and returns the number of entries that poll this replica.
    fn record(&mut self, entry: &Name) -> u32 {
        let now = boot_time();
        self.0.insert(entry.clone(), now);
        self.0.retain(|_, polled_at| now < *polled_at + POLL_MAX_AGE);
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }
}

/// Answers a poll when something has changed or when the wait that it asked for is over.
pub async fn answer(control: Rc<Control>, mut poll: Poll) -> Answer {
    control.metrics.polls.inc();
    let entries = control.polling_entries.borrow_mut().record(&poll.entry);
    let tallies = std::mem::take(&mut poll.tallies);
    control.tallies.report(&poll.entry, poll.incarnation, tallies);
    let wait = Duration::from_millis(poll.wait_ms);
    // A timeout means that nothing changed, which is the usual case.
    let _ = tokio::time::timeout(wait, wait_for_change(&control, &poll)).await;
    let changed = control.directory.borrow().has_changed_since(poll.cursor);
    let confirm_timeout = if changed { CHANGED_CONFIRM_TIMEOUT } else { CONFIRM_TIMEOUT };
    let state = control.consensus.linearizable_read(confirm_timeout).await;
    // The answer must not say less than the state that it confirms.
    control.update_directory();
    let directory = control.directory.borrow();
    let latest_state = control.consensus.state();
    Answer::Poll(Box::new(PollAnswer {
        confirmed: state.map(|state| confirmed(&state, &poll)),
        cursor: directory.cursor(),
        endpoint_updates: directory.updates_since(poll.cursor),
        departures: directory.departures_since(poll.cursor),
        zone: (directory.cursor().epoch != poll.cursor.epoch)
            .then(|| control.settings.zone.as_str().into()),
        replicas: latest_state.members.iter().map(|member| member.address.clone()).collect(),
        entries,
    }))
}

fn confirmed(state: &Arc<ReplicaState>, poll: &Poll) -> Confirmed {
    let machine = &state.machine;
    let number = machine.configuration.number;
    let is_revised = machine.revision != poll.revision;
    let is_outdated = poll.wants_configuration && number > poll.configuration;
    Confirmed {
        number,
        revision: machine.revision,
        roll_outs: is_revised.then(|| (*machine.roll_outs).clone()),
        versions: is_revised.then(|| (*machine.versions).clone()),
        evacuated: is_revised.then(|| (*machine.evacuated).clone()),
        configuration: is_outdated.then(|| Box::new((*machine.configuration).clone())),
        former_keys: if is_outdated {
            machine.former_keys.removed_after(poll.configuration)
        } else {
            Vec::new()
        },
    }
}

/// Completes when this replica has an update that the entry does not have.
async fn wait_for_change(control: &Control, poll: &Poll) {
    let mut state = control.log_handle.state.clone();
    let differs = |state: &Arc<ReplicaState>| {
        let newer = state.machine.configuration.number > poll.configuration;
        (poll.wants_configuration && newer) || state.machine.revision != poll.revision
    };
    loop {
        let directory_changed = control.directory_changed.notified();
        if control.directory.borrow().has_changed_since(poll.cursor) {
            return;
        }
        tokio::select! {
            () = directory_changed => {}
            _ = state.wait_for(differs) => return,
        }
    }
}
