//! Temporary folder, loopback address and processes of one test.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use eyre::WrapErr;
use tempfile::TempDir;

use crate::process::Process;

/// Number of harnesses created by this process.
static HARNESS_COUNT: AtomicU8 = AtomicU8::new(0);

/// Locked while ports are reserved and while a process is started, see [`spawn`].
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Temporary folder and loopback address of one test.
#[derive(Debug)]
pub struct Harness {
    /// Set to `None` on drop if the folder is kept.
    folder: Option<TempDir>,
    kept: AtomicBool,
    address: IpAddr,
}

impl Harness {
    /// Creates the folder and chooses a loopback address that no concurrent harness uses.
    pub fn new() -> eyre::Result<Self> {
        let folder = tempfile::Builder::new().prefix("hickoryreel-test-").tempdir()?;
        Ok(Self {
            folder: Some(folder),
            kept: AtomicBool::new(false),
            address: unique_loopback_address(),
        })
    }

    /// Folder for settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new(""), TempDir::path)
    }

    /// Keeps the folder when the harness is dropped, for a run that found a failure.
    pub fn keep_folder(&self) {
        self.kept.store(true, Ordering::Relaxed);
    }

    /// Returns `count` addresses with distinct free ports chosen by the kernel. No other harness
    /// uses the IP address, so the ports stay free until the processes of the test listen on them.
    pub fn addresses(&self, count: usize) -> eyre::Result<Vec<SocketAddr>> {
        let _guard = lock_spawn();
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind((self.address, 0))).collect::<Result<_, _>>()?;
        listeners.iter().map(|listener| Ok(listener.local_addr()?)).collect()
    }

    /// Writes a file to the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> eyre::Result<PathBuf> {
        let path = self.folder().join(name);
        std::fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
        Ok(path)
    }

    /// Starts `binary` from the build folder of the test executable. Its standard error is appended
    /// to `NAME.log` in the folder, its standard output to `NAME.out`.
    pub fn start(&self, name: &str, binary: &str, arguments: &[&str]) -> eyre::Result<Process> {
        Process::start(self.folder(), name, &self::binary(binary)?, arguments)
    }

    /// Starts `binary` with a settings file whose content is `settings`.
    pub fn start_with(&self, name: &str, binary: &str, settings: &str) -> eyre::Result<Process> {
        let path = self.write(&format!("{name}.ini"), settings)?;
        self.start(name, binary, &["--settings", &path.display().to_string()])
    }

    /// Log output of the process `name` so far.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder().join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if (std::thread::panicking() || self.kept.load(Ordering::Relaxed))
            && let Some(folder) = self.folder.take()
        {
            eprintln!("logs are kept in {}", folder.keep().display());
        }
    }
}

fn lock_spawn() -> MutexGuard<'static, ()> {
    // The mutex has no data that a panic could leave inconsistent.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no ports are being reserved. Between fork and exec, the child process has
/// copies of all sockets of the test, so a port that is reserved at that time would stay in use.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_spawn();
    command.spawn()
}

/// Path of a binary of this workspace, in the folder of the test executable or its parent.
pub fn binary(name: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let candidates = test.ancestors().skip(1).take(2).map(|folder| folder.join(name));
    let mut existing = candidates.filter(|path| path.is_file());
    existing.next().ok_or_else(|| {
        eyre::eyre!("{name} is not built; run `cargo build --workspace --bins` first")
    })
}

/// A loopback address derived from the process id and a counter, so that concurrent tests cannot
/// use each other's ports.
fn unique_loopback_address() -> IpAddr {
    /// Number of values of an octet without 0 and 255.
    const OCTET_VALUES: u32 = 254;
    let count = u32::from(HARNESS_COUNT.fetch_add(1, Ordering::Relaxed) % 16);
    let mut number = std::process::id().wrapping_mul(16) + count;
    let octets = [(); 3].map(|()| {
        let octet = u8::try_from(1 + number % OCTET_VALUES).unwrap_or(1);
        number /= OCTET_VALUES;
        octet
    });
    IpAddr::V4(Ipv4Addr::new(127, octets[2], octets[1], octets[0]))
}
