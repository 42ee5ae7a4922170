//! Processes under test.

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

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A process started by the harness. It is killed when this value is dropped.
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
        let append = |extension: &str| {
            let path = folder.join(format!("{name}.{extension}"));
            File::options().create(true).append(true).open(path)
        };
        let mut command = Command::new(binary);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(append("out")?).stderr(append("log")?);
        let child = harness::spawn(&mut command)
            .wrap_err_with(|| format!("cannot start {}", binary.display()))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Name passed to [`Harness::start`](harness::Harness::start).
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Asks the process to stop (SIGTERM) and waits until it has ended.
    pub fn stop(&mut self) -> eyre::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        wait::until_blocking(STOP_TIMEOUT, || Ok(self.child.try_wait()?))
            .wrap_err_with(|| format!("{} did not stop", self.name))
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
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// CPU time used so far, user and system.
    pub fn cpu_time(&self) -> eyre::Result<Duration> {
        /// Unit of CPU times in `/proc/PID/stat`, which is constant on Linux.
        const CLOCK_TICK: Duration = Duration::from_millis(10);
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks = fields.split(' ').skip(11).take(2).map(str::parse::<u32>);
        Ok(CLOCK_TICK * ticks.sum::<Result<u32, _>>()?)
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        kill(Pid::from_raw(id), signal)
            .wrap_err_with(|| format!("cannot send {signal} to {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls may fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
