//! Stand-in rater: rates every n-th submitted answer after a delay.
//!
//! `POST /v1/answers` submits `{"version", "text"}`. Once the delay has passed, the rating is sent
//! to every control replica as `POST /v1/ratings`. An answer that contains `nonsense` is rated as
//! bad.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_wire::endpoint::Rating;
use hyper::Method;
use serde::Deserialize;
use tokio::net::TcpListener;

/// Largest request body with an answer.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the rater.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Time from the submission of an answer to its rating.
    pub delay: Duration,
    /// Every n-th answer is rated.
    pub every: u64,
    /// Administration addresses of the control replicas.
    pub control: Vec<SocketAddr>,
}

struct Rater {
    settings: Settings,
    client: HttpClient,
    /// Number of submitted answers.
    answers: AtomicU64,
}

#[derive(Deserialize)]
struct Answer {
    version: Version,
    text: String,
}

/// Runs the rater until SIGTERM.
pub async fn run(listen: SocketAddr, settings: Settings) -> eyre::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let router = build_simple_router(|route| {
        route.post("/v1/answers").to_async_borrowing(answers);
    });
    let client = client::http_client();
    let rater = Arc::new(Rater { settings, client, answers: AtomicU64::new(0) });
    server::serve(listener, router, rater, server::stop_signal()).await;
    Ok(())
}

async fn answers(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let rater = App::<Rater>::borrow_from(state).clone().0;
    Ok(match server::read_json::<Answer>(state, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(answer) => {
            let number = rater.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if number.is_multiple_of(rater.settings.every.max(1)) {
                tokio::spawn(async move { rater.rate(answer).await });
            }
            server::json(200, &"taken")
        }
        Err(error) => server::error_response(&error),
    })
}

impl Rater {
    /// Rates an answer after the delay. Failed sends are not retried.
    async fn rate(&self, answer: Answer) {
        tokio::time::sleep(self.settings.delay).await;
        let good = !answer.text.contains("nonsense");
        let ratings = [Rating { version: answer.version, good }];
        let body = serde_json::to_vec(&ratings).unwrap_or_default();
        for replica in &self.settings.control {
            let call = Call {
                method: Method::POST,
                url: format!("http://{replica}/v1/ratings"),
                body: body.clone().into(),
                ..Call::default()
            };
            let _ = call.send(&self.client).await;
        }
    }
}
