//! The thread that owns the control state.
//!
//! [`Core`] is a handle: [`Core::propose`] sends a command to the thread and waits for its
//! outcome; [`Core::query`] runs a function on the state.

use std::sync::mpsc;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Command;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::machine::Outcome;
use tokio::sync::oneshot;

/// Work for the control-state thread.
enum Task {
    Propose { action: Action, reply: oneshot::Sender<Outcome> },
    Query(Box<dyn FnOnce(&Machine) + Send>),
}

/// Handle to the control-state thread.
#[derive(Clone)]
pub struct Core {
    tasks: mpsc::Sender<Task>,
}

impl Core {
    /// Starts the thread.
    pub fn start() -> eyre::Result<Self> {
        let (tasks, inbox) = mpsc::channel();
        std::thread::Builder::new().name("control-state".to_owned()).spawn(move || own(&inbox))?;
        Ok(Self { tasks })
    }

    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, action: Action) -> error::Result<Outcome> {
        let (reply, answer) = oneshot::channel();
        self.tasks.send(Task::Propose { action, reply }).map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }

    /// Runs `query` on the state.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> error::Result<T> {
        let (reply, answer) = oneshot::channel();
        let task = Task::Query(Box::new(move |machine| {
            // The caller may have given up waiting.
            let _ = reply.send(query(machine));
        }));
        self.tasks.send(task).map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }
}

fn stopped() -> Error {
    Error::new(Kind::NoQuorum, "the control-state thread has stopped")
}

fn own(inbox: &mpsc::Receiver<Task>) {
    let mut machine = Machine::default();
    let mut index = 0;
    for task in inbox {
        match task {
            Task::Propose { action, reply } => {
                index += 1;
                let command = Command { at_ms: unix_millis(), action };
                // The caller may have given up waiting.
                let _ = reply.send(machine.apply(index, &command));
            }
            Task::Query(query) => query(&machine),
        }
    }
}
