//! Clusters of control replicas.

use std::fmt::Write;
use std::net::SocketAddr;

use eyre::OptionExt;
use hickoryreel_base::bundle::key_sha256;

use crate::harness::Harness;
use crate::http::Http;
use crate::process::Process;
use crate::relay::Relay;

/// Keys of the operators `maria` and `nikos`, in this order.
pub const OPERATOR_KEYS: [&str; 2] = ["maria-key", "nikos-key"];

/// Shared key for calls between processes.
pub const CLUSTER_KEY: &str = "cluster-key-of-the-tests";

/// A control replica, whose process may be stopped and started again.
#[derive(Debug)]
pub struct Replica {
    /// Name of the process, its log file and its data folder.
    pub name: String,
    /// JSON-RPC address.
    pub rpc: SocketAddr,
    /// Address of the administration interface.
    pub admin: SocketAddr,
    /// The process, while it is running.
    pub process: Option<Process>,
    settings: String,
}

/// A cluster of control replicas.
#[derive(Debug)]
pub struct Cluster {
    /// The replicas in the order in which they were started.
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// Starts a new cluster of `count` replicas. `extra` is appended to the section `[control]`.
    pub fn start(harness: &Harness, count: usize, extra: &str) -> eyre::Result<Self> {
        let addresses = harness.addresses(2 * count)?;
        let pairs: Vec<_> = addresses.chunks(2).map(|pair| (pair[0], pair[1])).collect();
        let replica_list: Vec<String> =
            pairs.iter().map(|(rpc, admin)| format!("{rpc}/{admin}")).collect();
        let control_settings = format!("replicas = {}\n{extra}", replica_list.join(", "));
        let mut cluster = Self { replicas: Vec::new() };
        for (rpc, admin) in pairs {
            cluster.add(harness, rpc, admin, &control_settings)?;
        }
        Ok(cluster)
    }

    /// Starts a new cluster with a relay in front of each replica, through which the other replicas
    /// reach it.
    pub async fn start_behind_relays(
        harness: &Harness,
        count: usize,
        extra: &str,
    ) -> eyre::Result<(Self, Vec<Relay>)> {
        let addresses = harness.addresses(3 * count)?;
        let mut relays = Vec::new();
        for group in addresses.chunks(3) {
            relays.push(Relay::start(group[2], group[0]).await?);
        }
        let advertised = addresses.chunks(3).map(|group| format!("{}/{}", group[2], group[1]));
        let advertised: Vec<String> = advertised.collect();
        let replica_list = advertised.join(", ");
        let mut cluster = Self { replicas: Vec::new() };
        for (group, own_addresses) in addresses.chunks(3).zip(&advertised) {
            let control_settings =
                format!("replicas = {replica_list}\nadvertise = {own_addresses}\n{extra}");
            cluster.add(harness, group[0], group[1], &control_settings)?;
        }
        Ok((cluster, relays))
    }

    /// Starts another replica with an empty data folder, which waits until it is added to the
    /// cluster.
    pub fn join(&mut self, harness: &Harness, extra: &str) -> eyre::Result<&Replica> {
        let addresses = harness.addresses(2)?;
        self.add(harness, addresses[0], addresses[1], &format!("join = true\n{extra}"))?;
        self.replicas.last().ok_or_eyre("the cluster has no replica")
    }

    fn add(
        &mut self,
        harness: &Harness,
        rpc: SocketAddr,
        admin: SocketAddr,
        extra: &str,
    ) -> eyre::Result<()> {
        let name = format!("control{}", self.replicas.len());
        let data = harness.folder().join(&name);
        let mut settings = format!(
            "[control]\nrpc = {rpc}\nadmin = {admin}\ndata = {}\ncluster-key = {CLUSTER_KEY}\n{extra}\n[operators]\n",
            data.display()
        );
        for (operator, key) in ["maria", "nikos"].iter().zip(OPERATOR_KEYS) {
            writeln!(settings, "{operator} = {}", key_sha256(key))?;
        }
        let mut replica = Replica { name, rpc, admin, process: None, settings };
        replica.start(harness)?;
        self.replicas.push(replica);
        Ok(())
    }

    /// Administration addresses of all replicas.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.admin).collect()
    }

    /// JSON-RPC addresses of all replicas, separated by commas as in settings.
    pub fn rpc_list(&self) -> String {
        let replica_list: Vec<String> =
            self.replicas.iter().map(|replica| replica.rpc.to_string()).collect();
        replica_list.join(", ")
    }

    /// Waits until a leader responds to reads, and returns its index in `replicas`.
    pub async fn leader(&self) -> eyre::Result<usize> {
        let http = Http::with_key(OPERATOR_KEYS[0]);
        crate::wait::until("a leader", || async {
            for (index, replica) in self.replicas.iter().enumerate() {
                if replica.process.is_none() {
                    continue;
                }
                let answer = http.get(replica.admin, "/admin/v1/status").await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return Ok(Some(index));
                }
            }
            Ok(None)
        })
        .await
    }
}

impl Replica {
    /// Starts the process. Also restarts it after it has ended.
    pub fn start(&mut self, harness: &Harness) -> eyre::Result<()> {
        self.process =
            Some(harness.start_with(&self.name, "hickoryreel-control", &self.settings)?);
        Ok(())
    }

    /// Returns the process, or an error if the replica is not running.
    pub fn running(&mut self) -> eyre::Result<&mut Process> {
        self.process.as_mut().ok_or_eyre("the replica is not running")
    }

    pub fn kill(&mut self) -> eyre::Result<()> {
        self.running()?.kill()?;
        self.process = None;
        Ok(())
    }

    /// Deletes the data folder. The replica must not be running.
    pub fn delete_data_folder(&self, harness: &Harness) -> eyre::Result<()> {
        Ok(std::fs::remove_dir_all(harness.folder().join(&self.name))?)
    }
}
