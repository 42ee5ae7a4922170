//! Errors of requests that may have been dispatched.

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Ran;
use hickoryreel_base::server;

/// An error, and whether the request may have reached an endpoint.
#[derive(Clone, Debug)]
pub struct RequestError {
    pub error: Error,
    /// Whether a dispatch was written and no endpoint confirmed that it did not run.
    pub dispatched: bool,
}

impl From<Error> for RequestError {
    fn from(error: Error) -> Self {
        Self { error, dispatched: false }
    }
}

impl RequestError {
    /// The body of the error response. "Not run" becomes "unknown" if the request was dispatched.
    pub fn body(&self) -> error::Body {
        let mut body = error::Body::from(&self.error);
        if self.dispatched && body.error.ran == Ran::No {
            body.error.ran = Ran::Unknown;
        }
        body
    }

    /// The response to the caller.
    pub fn response(&self) -> Response<Body> {
        let answer = self.error.kind.answer();
        let mut response = server::json(answer.status, &self.body());
        if let Some(seconds) = answer.retry_after_s {
            response.headers_mut().insert(hyper::header::RETRY_AFTER, seconds.into());
        }
        response
    }

    /// The last event of a stream that cannot be completed.
    pub fn event(&self) -> bytes::Bytes {
        let body = serde_json::to_string(&self.body()).unwrap_or_default();
        format!("event: error\ndata: {body}\n\n").into()
    }
}
