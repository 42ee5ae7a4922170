//! Answers that the entry itself gives to clients.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body::Body;

/// Reason why the entry answers in place of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request head is malformed.
    Malformed,
    /// No route matches the host and path.
    UnknownRoute,
    /// No workspace has the API key.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// No endpoint of the service holds a prompt of that length in its KV cache.
    PromptTooLarge,
    /// The body did not arrive in time or is incomplete.
    BodyLate,
    /// The entry has no configuration yet.
    NoConfiguration,
    /// The lease under which keys are accepted has expired.
    NoLease,
    /// The service has no endpoint for the request.
    NoEndpoint,
    /// No endpoint accepted the request.
    Overloaded,
    /// A part of the prompt crashes endpoints; the time until it is tried again.
    Blocked(Duration),
    /// The memory for request bodies is in use.
    NoMemory,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The process exits and has not sent the request.
    Stopping,
    /// An endpoint may have run the request, but its answer is lost.
    Unknown,
    /// An endpoint may have run the request, but the deadline passed.
    TimedOut,
}

impl Refusal {
    /// Returns the status and, for requests that have not run, the delay for `Retry-After`.
    pub fn answer(self) -> (StatusCode, Option<Duration>) {
        match self {
            Self::Malformed => (StatusCode::BAD_REQUEST, None),
            Self::UnknownRoute => (StatusCode::NOT_FOUND, None),
            Self::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            // Endpoints refuse such a prompt as if they were full. No later attempt can succeed.
            Self::PromptTooLarge => (StatusCode::SERVICE_UNAVAILABLE, None),
            Self::BodyLate => (StatusCode::REQUEST_TIMEOUT, None),
            // A new process gets the configuration, and a lease is renewed, within a second.
            Self::NoConfiguration | Self::NoLease => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(700)))
            }
            // About the time until a crashed endpoint is back or another one has capacity.
            Self::NoEndpoint | Self::Overloaded => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(400)))
            }
            Self::Blocked(left) => (StatusCode::SERVICE_UNAVAILABLE, Some(left)),
            Self::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(300))),
            Self::TooLate => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(100))),
            // Another entry can take it at once.
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
            Self::Unknown => (StatusCode::BAD_GATEWAY, None),
            Self::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        }
    }

    pub fn response(self) -> Response<Body> {
        self.response_after(None)
    }

    /// Returns the response with another delay for `Retry-After`, if there is one.
    pub fn response_after(self, delay: Option<Duration>) -> Response<Body> {
        let (status, retry_after) = self.answer();
        let retry_after = delay.or(retry_after);
        let mut response = Response::new(Body::whole(Bytes::new()));
        *response.status_mut() = status;
        if let Some(pause) = retry_after {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if matches!(self, Self::BodyTooLarge | Self::BodyLate | Self::Malformed) {
            // The rest of the body is not read.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
