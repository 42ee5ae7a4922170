//! Asks a running entry over a link.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_fleet::explanation::Explanation;
use hickoryreel_fleet::explanation::Question;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::Request;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::task::LocalSet;

use crate::ops::failure::Failure;

/// Time limit for an answer. An entry computes it in milliseconds; the rest is for a connection to
/// another region and an entry whose VM is overloaded.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks the entry at `address` where a request would go now.
pub async fn explain(address: SocketAddr, question: Question) -> Result<Explanation, Failure> {
    let ask = async {
        let client = Client::start(address, Logger::root(Discard, o!()));
        client.call(Request::Explain(Box::new(question)), ANSWER_TIMEOUT).await
    };
    match LocalSet::new().run_until(ask).await {
        Some(Answer::Explanation(explanation)) => Ok(*explanation),
        Some(_) => {
            let message = format!("{address} does not explain choices; is it an entry?");
            Err(Failure::UnexpectedAnswer(message))
        }
        None => {
            let limit_s = ANSWER_TIMEOUT.as_secs();
            let message = format!(
                "no entry answered at {address} within {limit_s} s; an entry listens on the first \
                 port of its port range"
            );
            Err(Failure::NotReachable(message))
        }
    }
}
