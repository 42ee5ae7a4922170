//! Authentication of JSON-RPC calls: rejects calls without the cluster key before their body is
//! read.

use std::future::Future;
use std::future::Ready;
use std::future::ready;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_util::future::Either;
use hickoryreel_base::bundle::key_sha256;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use tower::Layer;
use tower::Service;

/// Adds the check of the cluster key to a service.
#[derive(Clone, Debug)]
pub struct AuthLayer {
    /// SHA-256 of the key; without it, every call is accepted. The hashes are compared instead of
    /// the keys, so that the duration of the comparison reveals nothing about the key.
    key_hash: Option<Arc<str>>,
}

impl AuthLayer {
    /// Accepts only calls with `key`; without a key, accepts every call.
    pub fn new(key: Option<&str>) -> Self {
        Self { key_hash: key.map(|key| key_sha256(key).into()) }
    }
}

impl<S> Layer<S> for AuthLayer {
    type Service = AuthService<S>;

    fn layer(&self, inner: S) -> AuthService<S> {
        AuthService { inner, key_hash: self.key_hash.clone() }
    }
}

/// A service that is protected by an [`AuthLayer`].
#[derive(Clone, Debug)]
pub struct AuthService<S> {
    inner: S,
    key_hash: Option<Arc<str>>,
}

impl<S, B> Service<HttpRequest<B>> for AuthService<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Future<Output = Result<HttpResponse, S::Error>>,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Either<S::Future, Ready<Result<HttpResponse, S::Error>>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        let given_hash = request
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
            .map(key_sha256);
        if self.key_hash.as_deref().is_none_or(|hash| given_hash.as_deref() == Some(hash)) {
            return Either::Left(self.inner.call(request));
        }
        let mut response = HttpResponse::new(HttpBody::from("the cluster key is missing or wrong"));
        *response.status_mut() = http::StatusCode::UNAUTHORIZED;
        Either::Right(ready(Ok(response)))
    }
}
