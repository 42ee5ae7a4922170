//! Fixtures for tests with real control replicas.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_base::client::Answer;
use hickoryreel_base::error::Body;
use hickoryreel_base::name::Request;
use hickoryreel_control::client;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine::Accepted;
use hickoryreel_state::record;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::cluster::CLUSTER_KEY;
use hickoryreel_testkit::cluster::OPERATOR_KEYS;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::Status;
use hickoryreel_wire::admin::WriteRequest;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::RenewRequest;
use hickoryreel_wire::rpc::Reply;
use hickoryreel_wire::rpc::Usage;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;

pub(crate) const BUNDLE: &str = include_str!("../../../../examples/registry.ini");

/// Timeout of one JSON-RPC call of a test client.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn maria() -> Http {
    Http::with_key(OPERATOR_KEYS[0])
}

pub(crate) fn nikos() -> Http {
    Http::with_key(OPERATOR_KEYS[1])
}

pub(crate) fn write_request(request: &str, based_on: Revision, change: Change) -> WriteRequest {
    WriteRequest { request: Request::from(request), based_on, change }
}

/// Submits the example bundle; each `number` gives a different text.
pub(crate) fn submit_change(number: usize) -> Change {
    Change::Submit { text: format!("{BUNDLE}\n; change {number}\n").into() }
}

/// Error code of a refusal, or the status of an answer without one.
pub(crate) fn error_code(answer: &Answer) -> String {
    let body = serde_json::from_slice::<Body>(&answer.body);
    body.map_or_else(|_| format!("status {}", answer.status), |body| body.error.code)
}

/// Sends `write` to all replicas until one gives an answer that is neither `not_leader` nor
/// `no_quorum`, as the operator command does.
pub(crate) async fn send_write(
    cluster: &Cluster,
    http: &Http,
    write: &WriteRequest,
) -> eyre::Result<Answer> {
    wait::until("an answer to a write", || async {
        for admin in cluster.admin_addresses() {
            let Ok(answer) = http.post(admin, "/admin/v1/operations", write).await else {
                continue;
            };
            if !["not_leader", "no_quorum"].contains(&error_code(&answer).as_str()) {
                return Ok(Some(answer));
            }
        }
        Ok(None)
    })
    .await
}

pub(crate) async fn expect_accepted(
    cluster: &Cluster,
    http: &Http,
    write: &WriteRequest,
) -> eyre::Result<Accepted> {
    http::json(&send_write(cluster, http, write).await?)
}

/// Status from the leader among the running replicas.
pub(crate) async fn status(cluster: &Cluster) -> eyre::Result<Status> {
    let leader = cluster.leader().await?;
    let admin = cluster.replicas[leader].admin;
    http::json(&maria().ready(admin, "/admin/v1/status").await?)
}

/// Submits, signs off and rolls out the example bundle. Returns the revision.
pub(crate) async fn put_into_force(cluster: &Cluster) -> eyre::Result<Revision> {
    let submitted =
        expect_accepted(cluster, &maria(), &write_request("submit", 0, submit_change(0))).await?;
    let bundle = submitted.bundle.unwrap_or_default();
    let sign_off = write_request("sign-off", submitted.revision, Change::SignOff { bundle });
    let signed_off = expect_accepted(cluster, &nikos(), &sign_off).await?;
    let roll_out = write_request("roll-out", signed_off.revision, Change::RollOut { bundle });
    Ok(expect_accepted(cluster, &maria(), &roll_out).await?.revision)
}

/// An entry that only makes calls to control replicas.
pub(crate) struct StubEntry {
    pub(crate) holder: Holder,
}

impl StubEntry {
    pub(crate) fn new(name: &str) -> Self {
        Self { holder: Holder { entry: name.into(), incarnation: 1 } }
    }

    /// Requests a lease from `replica`.
    pub(crate) async fn renew(
        &self,
        replica: SocketAddr,
        revision: Revision,
    ) -> eyre::Result<Reply<Grant>> {
        let holder = self.holder.clone();
        let renew = RenewRequest { holder, revision, directory: 0, usage: Usage::default() };
        call(replica, method::LEASE_RENEW, &renew).await
    }

    /// Submits record changes to `replica`.
    pub(crate) async fn submit(
        &self,
        replica: SocketAddr,
        changes: &[RecordChange],
    ) -> eyre::Result<Reply<Vec<record::Outcome>>> {
        call(replica, method::RECORD_SUBMIT, &changes).await
    }
}

async fn call<T: serde::de::DeserializeOwned>(
    replica: SocketAddr,
    method: &str,
    parameter: &(impl serde::Serialize + Sync),
) -> eyre::Result<T> {
    let client = client::json_rpc(replica, Some(CLUSTER_KEY), CALL_TIMEOUT)?;
    Ok(client.request(method, rpc_params![parameter]).await?)
}
