//! Polls a control replica until a change has taken effect, with progress on standard error.

use std::io::IsTerminal;
use std::io::Write;
use std::time::Duration;

use hickoryreel_state::command::Revision;
use hickoryreel_wire::admin::InForce;
use hickoryreel_wire::admin::Status;

use crate::cli::Context;
use crate::ops::failure::Failure;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Progress line. On a terminal it is overwritten in place; elsewhere each change is a new line.
struct Progress {
    last_text: String,
}

impl Progress {
    fn show(&mut self, text: &str) {
        if text == self.last_text {
            return;
        }
        let terminal = std::io::stderr().is_terminal();
        let end = if terminal { "" } else { "\n" };
        let start = if terminal { "\r\x1b[K" } else { "" };
        // The operation doesn't depend on its progress being shown.
        let _ = write!(std::io::stderr(), "{start}{text}{end}");
        self.last_text = text.to_owned();
    }

    fn end(&self) {
        if std::io::stderr().is_terminal() && !self.last_text.is_empty() {
            let _ = writeln!(std::io::stderr());
        }
    }
}

/// Waits until `revision` is in force at every entry.
pub async fn in_force(context: &Context, revision: Revision) -> Result<(), Failure> {
    let mut progress = Progress { last_text: String::new() };
    loop {
        let found: InForce = context.admin.get(&format!("in-force/{revision}")).await?;
        if found.in_force {
            progress.show(&format!("revision {revision} is in force"));
            progress.end();
            return Ok(());
        }
        let entries: Vec<String> = found.waiting.iter().map(ToString::to_string).collect();
        let holders = match (found.unknown_leases, entries.is_empty()) {
            (true, _) => "leases granted by an earlier leader".to_owned(),
            (false, _) => entries.join(", "),
        };
        progress.show(&format!("revision {revision}: waiting for {holders}"));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the replica `id` is a voter.
pub async fn voter(context: &Context, id: &str) -> Result<(), Failure> {
    let mut progress = Progress { last_text: String::new() };
    loop {
        let status: Status = context.admin.get("status").await?;
        let replica = status.replicas.iter().find(|replica| replica.id == id);
        match replica {
            Some(replica) if replica.voter => {
                progress.show(&format!("replica {id} is a voter"));
                progress.end();
                return Ok(());
            }
            Some(_) => progress.show(&format!("replica {id} is a learner and receives the log")),
            None => {
                return Err(Failure::UnexpectedAnswer(format!(
                    "replica {id} is no longer a member"
                )));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
