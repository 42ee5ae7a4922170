//! Folder, address and processes of one test.

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

/// Numbers the harnesses of this process.
static COUNT: AtomicU8 = AtomicU8::new(0);

/// Held while ports are being reserved and while a process is being started.
static RESERVING: Mutex<()> = Mutex::new(());

/// Folder and address of one test.
#[derive(Debug)]
pub struct Harness {
    /// `None` once the folder was kept.
    folder: Option<TempDir>,
    kept: AtomicBool,
    address: IpAddr,
}

impl Harness {
    /// Creates the folder and chooses a loopback address that no other harness uses.
    pub fn new() -> eyre::Result<Self> {
        let folder = tempfile::Builder::new().prefix("hickoryreel-test-").tempdir()?;
        Ok(Self { folder: Some(folder), kept: AtomicBool::new(false), address: own_address() })
    }

    /// The folder with settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new(""), TempDir::path)
    }

    /// Keeps the folder after the end, for a run that showed a failure.
    pub fn keep(&self) {
        self.kept.store(true, Ordering::Relaxed);
    }

    /// Reserves `count` different ports that the kernel chose. No other harness uses the address,
    /// so nothing takes the ports before the processes listen on them.
    pub fn addresses(&self, count: usize) -> eyre::Result<Vec<SocketAddr>> {
        let _reserving = lock();
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind((self.address, 0))).collect::<Result<_, _>>()?;
        listeners.iter().map(|listener| Ok(listener.local_addr()?)).collect()
    }

    /// Writes a file into the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> eyre::Result<PathBuf> {
        let path = self.folder().join(name);
        std::fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
        Ok(path)
    }

    /// Starts `binary`, which was built beside the test executable. Its standard error is appended
    /// to `NAME.log` in the folder, its standard output to `NAME.out`.
    pub fn start(&self, name: &str, binary: &str, arguments: &[&str]) -> eyre::Result<Process> {
        Process::start(self.folder(), name, &self::binary(binary)?, arguments)
    }

    /// Starts `binary` with a settings file that holds `settings`.
    pub fn start_with(&self, name: &str, binary: &str, settings: &str) -> eyre::Result<Process> {
        let path = self.write(&format!("{name}.ini"), settings)?;
        self.start(name, binary, &["--settings", &path.display().to_string()])
    }

    /// The log lines that the process called `name` wrote so far.
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

fn lock() -> MutexGuard<'static, ()> {
    // The lock guards no value that a panic could leave broken.
    RESERVING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no ports are being reserved. Between fork and exec a process holds copies
/// of all sockets of the test, so that a port reserved at that time stays taken.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _reserving = lock();
    command.spawn()
}

/// Path of a binary of this workspace: beside the folder of the test executable.
pub fn binary(name: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let candidates = test.ancestors().skip(1).take(2).map(|folder| folder.join(name));
    let mut found = candidates.filter(|path| path.is_file());
    found.next().ok_or_else(|| {
        eyre::eyre!("{name} is not built; run `cargo build --workspace --bins` first")
    })
}

/// A loopback address made from the process id and a counter, so that tests that run at the same
/// time can't take each other's ports.
fn own_address() -> IpAddr {
    /// Values of one octet, without 0 and 255.
    const OCTET: u32 = 254;
    let count = u32::from(COUNT.fetch_add(1, Ordering::Relaxed) % 16);
    let mut number = std::process::id().wrapping_mul(16) + count;
    let octets = [(); 3].map(|()| {
        let octet = u8::try_from(1 + number % OCTET).unwrap_or(1);
        number /= OCTET;
        octet
    });
    IpAddr::V4(Ipv4Addr::new(127, octets[2], octets[1], octets[0]))
}
