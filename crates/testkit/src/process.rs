//! One process under test.

use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use eyre::WrapErr;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::harness;
use crate::wait;

/// Limit for a graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// A process that this harness started. It is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        binary: &Path,
        arguments: &[&str],
    ) -> eyre::Result<Self> {
        let append = |ending: &str| {
            let path = folder.join(format!("{name}.{ending}"));
            File::options().create(true).append(true).open(path)
        };
        let mut command = Command::new(binary);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(append("out")?).stderr(append("log")?);
        let child = harness::spawn(&mut command)
            .wrap_err_with(|| format!("cannot start {}", binary.display()))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once and waits until it is gone.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Asks the process to stop (SIGTERM) and waits until it ended.
    pub fn stop(&mut self) -> eyre::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        wait::until_blocking(STOP_LIMIT, || Ok(self.child.try_wait()?))
            .wrap_err_with(|| format!("{} does not stop", self.name))
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Continues a suspended process (SIGCONT).
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Processor time used so far, user and system.
    pub fn processor_time(&self) -> eyre::Result<Duration> {
        /// Length of a clock tick in `/proc/PID/stat`, a constant of the Linux interface.
        const TICK: Duration = Duration::from_millis(10);
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks = fields.split(' ').skip(11).take(2).map(str::parse::<u32>);
        Ok(TICK * ticks.sum::<Result<u32, _>>()?)
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        kill(Pid::from_raw(id), signal)
            .wrap_err_with(|| format!("cannot send {signal} to {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
