//! Requests with an idempotency key, which are forwarded to the daemon that owns the key.

use std::time::Duration;

use baobabreel_client::wire::{CallHead, KeyHead};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::idempotency::{
    Attempt as KeyAttempt, Key, KeyRoute, KeyedRequest, Origin, unreachable_owner,
};
use baobabreel_core::registry::Incarnate;
use http::request::Parts;
use http::{Response, Version};

use super::Call;
use super::attempts::SendOptions;
use crate::context::Cx;
use crate::proxy::body::{Guard, ProxyBody};
use crate::proxy::call_error::CallError;
use crate::proxy::call_wait::{Callee, WaitOptions};
use crate::proxy::dispatch::{self, PeerResponse};
use crate::proxy::keyed::{self, BufferedRequest};
use crate::proxy::request_body::RequestBody;
use crate::proxy::{headers, host};

impl Call<'_> {
    /// Serves a request with a key. Its body is buffered, since it is part of the fingerprint of the
    /// request.
    pub(super) async fn serve_keyed(
        &self,
        key: Key,
        parts: Parts,
        body: RequestBody,
    ) -> Result<Response<ProxyBody>, CallError> {
        let attempt = keyed::read_attempt(&parts.headers);
        // An earlier attempt with the same key may have run.
        self.sends.record_earlier();
        let error_before_owner = |e| keyed::error_before_owner(e, attempt);
        let req = self.prepare(parts, body, true).await;
        let req = req.and_then(BufferedRequest::new).map_err(error_before_owner)?;
        let head = self.head(&self.route.spec.service, SendOptions::default());
        let head = head.map_err(error_before_owner)?;
        self.send_to_owner(&key, attempt, head, req).await
    }

    /// Whose share of the owner's table the key counts towards.
    fn origin(&self) -> Origin {
        let addr = || self.caller.map(|caller| Origin::of_address(caller.0));
        let tenant = self.tenant.as_ref().map(|found| Origin::of_tenant(&found.tenant.name));
        tenant.or_else(addr).unwrap_or(Origin::UNKNOWN)
    }

    /// Forwards a request with a key to the daemon that owns the key, which may be this one.
    async fn send_to_owner(
        &self,
        key: &Key,
        attempt: KeyAttempt,
        mut head: CallHead,
        req: BufferedRequest,
    ) -> Result<Response<ProxyBody>, CallError> {
        let origin = self.origin();
        let request = KeyedRequest {
            service: &self.route.spec.service,
            key,
            fingerprint: req.fingerprint(),
            attempt,
            origin,
        };
        let key_head = |owner: &Incarnate| KeyHead {
            key: key.as_str().to_owned(),
            fingerprint: request.fingerprint.into(),
            first: attempt == KeyAttempt::First,
            owner: Some((owner.id.clone(), owner.incarnation)),
            fallback: self.route.spec.fallback.clone(),
        };
        let cx = self.cx;
        match cx.keys.route(&request, &cx.members.load()) {
            KeyRoute::Refuse(kind) => {
                Err(CallError::new(kind, "the owner of the key cannot be asked"))
            }
            KeyRoute::Local => {
                let key_head = key_head(cx.keys.me());
                keyed::serve_as_owner(cx, head, key_head, origin, req).await
            }
            KeyRoute::Forward { owner, peer_addr } => {
                head.key = Some(key_head(&owner));
                let to = Callee { addr: peer_addr, incarnation: owner.incarnation };
                let deadline = self.deadline;
                let options = WaitOptions { deadline, can_resend: || false, on_silence: || {} };
                let mut req = req.to_request();
                headers::write_origin(req.headers_mut(), origin);
                let sent = dispatch::send_call(cx, to, &head, req, &options);
                let answer = sent.await.map_err(|e| owner_error(e, attempt))?;
                Ok(relay_response(cx, answer, self.deadline))
            }
        }
    }
}

/// Error for a caller whose request failed on the way to the owner of its key.
fn owner_error(mut e: CallError, attempt: KeyAttempt) -> CallError {
    // Nothing was sent, so the owner has not decided about this attempt; another one may have run.
    if matches!(e.kind, ErrorKind::NoBackendServer | ErrorKind::Overloaded) && e.is_local {
        e.kind = unreachable_owner(attempt, false);
    }
    e
}

/// Passes on the response of the owner; it already has an outcome header.
fn relay_response(cx: &Cx, answer: PeerResponse, deadline: Duration) -> Response<ProxyBody> {
    let (mut parts, body) = answer.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let guard = Guard::Connection(Some(answer.connection));
    Response::from_parts(parts, host::track_body(cx, body, deadline, guard))
}
