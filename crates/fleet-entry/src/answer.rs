//! The answers that an entry gives by itself: one closed table.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body::Body;

/// Why the entry answers in place of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The head can't be read.
    Malformed,
    /// No route matches.
    UnknownRoute,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time or broke off.
    BodyLate,
    /// The entry knows no configuration yet.
    NoConfiguration,
    /// The lease under which keys are honoured has run out.
    NoLease,
    /// No endpoint of the service can take the request.
    NoEndpoint,
    /// The endpoints have no room.
    Overloaded,
    /// The entry has no memory for the body.
    NoMemory,
    /// The time ran out before the request was sent.
    TooLate,
    /// An endpoint may have run the request, and its answer is lost.
    Unknown,
    /// An endpoint may have run the request, and the time ran out.
    TimedOut,
}

impl Refusal {
    /// Status and, for requests that have not run, when to come back.
    pub fn answer(self) -> (StatusCode, Option<Duration>) {
        match self {
            Self::Malformed => (StatusCode::BAD_REQUEST, None),
            Self::UnknownRoute => (StatusCode::NOT_FOUND, None),
            Self::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::BodyLate => (StatusCode::REQUEST_TIMEOUT, None),
            // A new process learns the configuration, and a lease is renewed, within a second.
            Self::NoConfiguration | Self::NoLease => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(700)))
            }
            // A crashed endpoint is back, or another one has room, after about this time.
            Self::NoEndpoint | Self::Overloaded => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(400)))
            }
            Self::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(300))),
            Self::TooLate => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(100))),
            Self::Unknown => (StatusCode::BAD_GATEWAY, None),
            Self::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        }
    }

    /// The whole response.
    pub fn response(self) -> Response<Body> {
        let (status, retry_after) = self.answer();
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
