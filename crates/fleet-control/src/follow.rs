//! Long polls of entries.

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
use crate::log::Agreed;

/// Longest wait of a poll for the quorum when nothing else is to be told.
const CONFIRM_LIMIT: Duration = Duration::from_millis(700);

/// Longest wait for the quorum when the directory changed: news of an endpoint that leaves must
/// not wait for an election.
const CHANGED_CONFIRM_LIMIT: Duration = Duration::from_millis(150);

/// Time after which an entry that no longer polls is not counted.
const FOLLOWER_AGE: Duration = Duration::from_secs(3);

/// Entries that poll this replica.
#[derive(Default)]
pub struct Followers(HashMap<Name, Duration>);

impl Followers {
    fn note(&mut self, entry: &Name) -> u32 {
        let now = boot_time();
        self.0.insert(entry.clone(), now);
        self.0.retain(|_, at| now < *at + FOLLOWER_AGE);
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }
}

/// Answers a poll when there is news, or when its wait is over.
pub async fn answer(control: Rc<Control>, mut follow: Poll) -> Answer {
    control.metrics.polls.inc();
    let entries = control.followers.borrow_mut().note(&follow.entry);
    let tallies = std::mem::take(&mut follow.tallies);
    control.tallies.report(&follow.entry, follow.incarnation, tallies);
    let wait = Duration::from_millis(follow.wait_ms);
    // A wait that ends without news is the usual case.
    let _ = tokio::time::timeout(wait, news(&control, &follow)).await;
    let changed = control.directory.borrow().is_newer_than(follow.cursor);
    let limit = if changed { CHANGED_CONFIRM_LIMIT } else { CONFIRM_LIMIT };
    let agreed = control.quorum.confirmed(limit).await;
    let directory = control.directory.borrow();
    let replicas = control.quorum.agreed();
    Answer::Poll(Box::new(PollAnswer {
        confirmed: agreed.map(|agreed| confirmed(&agreed, &follow)),
        cursor: directory.cursor(),
        endpoint_updates: directory.since(follow.cursor),
        replicas: replicas.members.iter().map(|member| member.address.clone()).collect(),
        entries,
    }))
}

fn confirmed(agreed: &Arc<Agreed>, follow: &Poll) -> Confirmed {
    let machine = &agreed.machine;
    let number = machine.configuration.number;
    Confirmed {
        number,
        revision: machine.revision,
        roll_outs: (machine.revision != follow.revision).then(|| (*machine.roll_outs).clone()),
        configuration: (number > follow.configuration)
            .then(|| Box::new((*machine.configuration).clone())),
    }
}

/// Completes when this replica knows something that the entry does not.
async fn news(control: &Control, follow: &Poll) {
    let mut agreed = control.log_handle.agreed.clone();
    let differs = |agreed: &Arc<Agreed>| {
        agreed.machine.configuration.number > follow.configuration
            || agreed.machine.revision != follow.revision
    };
    loop {
        let directory_changed = control.directory_changed.notified();
        if control.directory.borrow().is_newer_than(follow.cursor) {
            return;
        }
        tokio::select! {
            () = directory_changed => {}
            _ = agreed.wait_for(differs) => return,
        }
    }
}
