//! Control replicas of one test.

use std::fmt::Write;
use std::net::SocketAddr;

use eyre::OptionExt;
use hickoryreel_base::bundle::key_sha256;

use crate::harness::Harness;
use crate::http::Http;
use crate::process::Process;
use crate::relay::Relay;

/// Keys of the two operators, `maria` and `nikos`.
pub const OPERATOR_KEYS: [&str; 2] = ["maria-key", "nikos-key"];

/// Key between processes.
pub const CLUSTER_KEY: &str = "cluster-key-of-the-tests";

/// One control replica.
#[derive(Debug)]
pub struct Replica {
    /// Name of the process, its log and its data folder.
    pub name: String,
    /// JSON-RPC address.
    pub rpc: SocketAddr,
    /// Address of the administration interface.
    pub admin: SocketAddr,
    /// The process, while it runs.
    pub process: Option<Process>,
    settings: String,
}

/// Control replicas.
#[derive(Debug)]
pub struct Cluster {
    /// The replicas, in the order of their start.
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// Starts a new cluster of `count` replicas. `extra` are further lines of `[control]`.
    pub fn start(harness: &Harness, count: usize, extra: &str) -> eyre::Result<Self> {
        let addresses = harness.addresses(2 * count)?;
        let pairs: Vec<_> = addresses.chunks(2).map(|pair| (pair[0], pair[1])).collect();
        let list: Vec<String> = pairs.iter().map(|(rpc, admin)| format!("{rpc}/{admin}")).collect();
        let first = format!("replicas = {}\n{extra}", list.join(", "));
        let mut cluster = Self { replicas: Vec::new() };
        for (rpc, admin) in pairs {
            cluster.add(harness, rpc, admin, &first)?;
        }
        Ok(cluster)
    }

    /// Starts a new cluster whose replicas reach each other through one relay in front of each.
    pub async fn start_behind_relays(
        harness: &Harness,
        count: usize,
        extra: &str,
    ) -> eyre::Result<(Self, Vec<Relay>)> {
        let addresses = harness.addresses(3 * count)?;
        let mut relays = Vec::new();
        for three in addresses.chunks(3) {
            relays.push(Relay::start(three[2], three[0]).await?);
        }
        let advertised = addresses.chunks(3).map(|three| format!("{}/{}", three[2], three[1]));
        let advertised: Vec<String> = advertised.collect();
        let list = advertised.join(", ");
        let mut cluster = Self { replicas: Vec::new() };
        for (three, own) in addresses.chunks(3).zip(&advertised) {
            let first = format!("replicas = {list}\nadvertise = {own}\n{extra}");
            cluster.add(harness, three[0], three[1], &first)?;
        }
        Ok((cluster, relays))
    }

    /// Starts a further replica with an empty folder that waits to be added.
    pub fn join(&mut self, harness: &Harness, extra: &str) -> eyre::Result<&Replica> {
        let addresses = harness.addresses(2)?;
        self.add(harness, addresses[0], addresses[1], &format!("join = true\n{extra}"))?;
        self.replicas.last().ok_or_eyre("no replica")
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
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.admin).collect()
    }

    /// JSON-RPC addresses of all replicas, as a list for settings.
    pub fn rpc_list(&self) -> String {
        let list: Vec<String> = self.replicas.iter().map(|one| one.rpc.to_string()).collect();
        list.join(", ")
    }

    /// Waits until a replica leads and answers reads, and returns its position.
    pub async fn leader(&self) -> eyre::Result<usize> {
        let http = Http::with_key(OPERATOR_KEYS[0]);
        crate::wait::until("a leader", || async {
            for (position, replica) in self.replicas.iter().enumerate() {
                if replica.process.is_none() {
                    continue;
                }
                let answer = http.get(replica.admin, "/admin/v1/status").await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return Ok(Some(position));
                }
            }
            Ok(None)
        })
        .await
    }
}

impl Replica {
    /// Starts the process, also again after its end.
    pub fn start(&mut self, harness: &Harness) -> eyre::Result<()> {
        self.process =
            Some(harness.start_with(&self.name, "hickoryreel-control", &self.settings)?);
        Ok(())
    }

    /// The running process.
    pub fn running(&mut self) -> eyre::Result<&mut Process> {
        self.process.as_mut().ok_or_eyre("the replica does not run")
    }

    /// Kills the process.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.running()?.kill()?;
        self.process = None;
        Ok(())
    }

    /// Deletes the data folder of a replica that does not run.
    pub fn lose_disk(&self, harness: &Harness) -> eyre::Result<()> {
        Ok(std::fs::remove_dir_all(harness.folder().join(&self.name))?)
    }
}
