//! Settings of a control replica.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use hickoryreel_base::name::Operator;
use hickoryreel_base::settings;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for JSON-RPC from entries, endpoints and other replicas.
    pub rpc: SocketAddr,
    /// Address of the administration interface.
    pub admin: SocketAddr,
    /// Folder for the state that survives a restart.
    pub data: PathBuf,
    /// SHA-256 of each operator's key.
    pub operators: BTreeMap<Operator, String>,
    /// Length of an entry's lease.
    pub lease: Duration,
    /// Lowest level of log lines.
    pub log_level: slog::Level,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            rpc: any_port,
            admin: any_port,
            data: PathBuf::new(),
            operators: BTreeMap::new(),
            lease: Duration::from_secs(3),
            log_level: slog::Level::Info,
        }
    }
}

/// Reads a settings file.
pub fn load(path: &Path) -> eyre::Result<Settings> {
    settings::load(path, |document| {
        let standard = Settings::default();
        let control = document.section("control");
        let operators = document.section("operators");
        Some(Settings {
            rpc: control.required("rpc", "ADDRESS:PORT")?,
            admin: control.required("admin", "ADDRESS:PORT")?,
            data: control.required("data", "a folder")?,
            operators: document
                .keys("operators")
                .into_iter()
                .filter_map(|name| Some((Operator::from(name.as_str()), operators.text(&name)?)))
                .collect(),
            log_level: control.or("log-level", "a log level", standard.log_level),
            ..standard
        })
    })
}
