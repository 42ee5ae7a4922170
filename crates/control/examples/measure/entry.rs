//! An entry that only makes calls to control replicas.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::OptionExt;
use hickoryreel_base::time::unix_millis;
use hickoryreel_control::client;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine::Accepted;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::cluster::CLUSTER_KEY;
use hickoryreel_testkit::cluster::OPERATOR_KEYS;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_wire::admin::WriteRequest;
use hickoryreel_wire::rpc;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::RenewRequest;
use hickoryreel_wire::rpc::Reply;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::rpc_params;

const BUNDLE: &str = include_str!("../../../../examples/registry.ini");

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) struct Entry {
    client: HttpClient,
    holder: Holder,
    pub(crate) revision: Revision,
    directory: u64,
}

impl Entry {
    pub(crate) fn new(name: &str, replica: SocketAddr, revision: Revision) -> eyre::Result<Self> {
        let client = client::json_rpc(replica, Some(CLUSTER_KEY), CALL_TIMEOUT)?;
        let holder = Holder { entry: name.into(), incarnation: 1 };
        Ok(Self { client, holder, revision, directory: 0 })
    }

    /// Renews the lease and stores the revisions of the configuration and directory from the
    /// answer.
    pub(crate) async fn renew(&mut self) -> eyre::Result<()> {
        let (holder, revision) = (self.holder.clone(), self.revision);
        let renew =
            RenewRequest { holder, revision, directory: self.directory, usage: rpc::Usage::new() };
        let reply: Reply<Grant> =
            self.client.request(method::LEASE_RENEW, rpc_params![renew]).await?;
        let grant = reply.map_err(|refusal| refusal.error)?;
        self.revision = grant.revision;
        self.directory = grant.directory;
        Ok(())
    }

    /// Submits a batch of changes; fails unless all are opened or closed.
    pub(crate) async fn submit(&self, changes: &[RecordChange]) -> eyre::Result<()> {
        let reply: Reply<Vec<Outcome>> =
            self.client.request(method::RECORD_SUBMIT, rpc_params![changes]).await?;
        let outcomes = reply.map_err(|refusal| refusal.error)?;
        let is_success = |outcome: &Outcome| matches!(outcome, Outcome::Opened | Outcome::Closed);
        match outcomes.iter().find(|outcome| !is_success(outcome)) {
            None => Ok(()),
            Some(outcome) => Err(eyre::eyre!("unexpected outcome {outcome:?}")),
        }
    }

    pub(crate) fn open(&self, request: &str) -> RecordChange {
        RecordChange::Open(Open {
            key: key(request),
            holder: self.holder.clone(),
            attempt: 1,
            target: Target::Version("small/1".into()),
            endpoint: "engine0".into(),
            run_once: false,
            session: None,
            digest: 1,
            revision: self.revision,
            request_ms: unix_millis(),
        })
    }

    pub(crate) fn close(&self, request: &str) -> RecordChange {
        let usage = Usage { prompt_tokens: 100, completion_tokens: 50, cost: 0.03 };
        RecordChange::Close(Close {
            key: key(request),
            holder: self.holder.clone(),
            attempt: 1,
            end: End::Answered(usage),
            runs: Default::default(),
            answer: None,
        })
    }
}

fn key(request: &str) -> Key {
    Key { workspace: "athens".into(), request: request.into() }
}

/// Sends `change` to the leader as an operator write.
pub(crate) async fn operate(
    cluster: &Cluster,
    operator: usize,
    based_on: Revision,
    change: Change,
) -> eyre::Result<Accepted> {
    let admin = cluster.replicas[cluster.leader().await?].admin;
    let write = WriteRequest { request: format!("m-{based_on}").into(), based_on, change };
    let http = Http::with_key(OPERATOR_KEYS[operator]);
    http::json(&http.post(admin, "/admin/v1/operations", &write).await?)
}

pub(crate) fn submit_bundle(number: u64) -> Change {
    Change::Submit { text: format!("{BUNDLE}\n; change {number}\n").into() }
}

/// Submits, signs off and rolls out the example bundle. Returns the revision.
pub(crate) async fn put_into_force(cluster: &Cluster) -> eyre::Result<Revision> {
    let submitted = operate(cluster, 0, 0, submit_bundle(0)).await?;
    let bundle = submitted.bundle.ok_or_eyre("no bundle id")?;
    let signed_off = operate(cluster, 1, submitted.revision, Change::SignOff { bundle }).await?;
    Ok(operate(cluster, 0, signed_off.revision, Change::RollOut { bundle }).await?.revision)
}
