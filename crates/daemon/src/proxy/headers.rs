//! Headers of the request path.

use std::time::Duration;

use baobabreel_client::wire::{DecodeHeadError, PackedHeaders, TenantHead};
use baobabreel_core::admission::ClientState;
use baobabreel_core::idempotency::Origin;
use baobabreel_core::quarantine::RequestDigest;
use http::Uri;
use http::header::{
    AGE, CONNECTION, CONTENT_LENGTH, DATE, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::settings::Settings;
use crate::telemetry::{Span, TRACEPARENT};

/// Most headers that a call between daemons has beside those that daemons set.
const MAX_PLAIN_HEADERS: usize = 64;

/// Memory that a header takes beside its bytes, in the request and in its copy for an attempt, in bytes.
const HEADER_MEMORY_BYTES: usize = 256;

/// Tells the caller whether the request ran.
pub const OUTCOME: HeaderName = HeaderName::from_static("baobabreel-outcome");
/// Head of a call between daemons.
pub const CALL_HEAD: HeaderName = HeaderName::from_static("baobabreel-call");
/// Head of an answer between daemons.
pub const ANSWER_HEAD: HeaderName = HeaderName::from_static("baobabreel-answer");
/// Time until the deadline, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("baobabreel-timeout-ms");
/// Marks a retry.
pub const RETRY: HeaderName = HeaderName::from_static("baobabreel-retry");
/// Shared secret that authenticates daemons and operators.
pub const TOKEN: HeaderName = HeaderName::from_static("baobabreel-token");
/// Host of the caller's request, in calls between daemons, whose `Host` is that of the daemon.
pub const CALLER_HOST: HeaderName = HeaderName::from_static("baobabreel-host");
/// Digest of a request, in hexadecimal digits; see [`RequestDigest`].
pub const DIGEST: HeaderName = HeaderName::from_static("baobabreel-digest");
/// Tenant of a request, in calls between daemons; see [`TenantHead`].
pub const TENANT_HEAD: HeaderName = HeaderName::from_static("baobabreel-tenant");
/// Identifier of the grant of a large body, in calls between daemons.
pub const BODY_GRANT: HeaderName = HeaderName::from_static("baobabreel-body-grant");
/// Number of requests that the client sent ahead of this one on its connection, in calls between daemons.
pub const AHEAD: HeaderName = HeaderName::from_static("baobabreel-ahead");
/// Marks a request whose client has yet to send a part of the body, in calls between daemons.
pub const SENDING: HeaderName = HeaderName::from_static("baobabreel-sending");
/// Whose key a request has, in calls to the owner of the key; see [`Origin`].
pub const ORIGIN: HeaderName = HeaderName::from_static("baobabreel-origin");
/// Headers of a request that has many, in calls between daemons; see [`PackedHeaders`].
pub const PACKED: HeaderName = HeaderName::from_static("baobabreel-headers");
/// Tells whether a request with a key is the first attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("baobabreel-attempt");
/// Marks a recorded response that is sent again.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Idempotency key of a caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that only daemons may set.
const INTERNAL: [HeaderName; 12] = [
    OUTCOME,
    CALL_HEAD,
    ANSWER_HEAD,
    TOKEN,
    CALLER_HOST,
    DIGEST,
    TENANT_HEAD,
    BODY_GRANT,
    AHEAD,
    SENDING,
    ORIGIN,
    PACKED,
];

const TRACESTATE: HeaderName = HeaderName::from_static("tracestate");
/// Tells how long the sender keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that apply to a single connection (hop-by-hop headers).
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Removes the headers of a response that would be wrong when it is sent again later.
pub fn remove_unreplayable(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in [DATE, AGE, RETRY_AFTER, TRACEPARENT, TRACESTATE, TIMEOUT] {
        headers.remove(name);
    }
    remove_internal(headers);
}

/// Removes the headers that only daemons may set.
pub fn remove_internal(headers: &mut HeaderMap) {
    for name in INTERNAL {
        headers.remove(name);
    }
}

/// Packs the headers of a request into one if there are many, except `request_id` and those that daemons set.
///
/// The HTTP library takes at most 100 headers, while a caller is limited by bytes alone.
pub fn pack(headers: &mut HeaderMap, request_id: &HeaderName) {
    if headers.len() <= MAX_PLAIN_HEADERS {
        return;
    }
    let is_plain = |name: &HeaderName| {
        let plain = [HOST, CONTENT_LENGTH, TRANSFER_ENCODING];
        plain.contains(name) || name == request_id || INTERNAL.contains(name)
    };
    let mut packed = HeaderMap::new();
    let mut last = None;
    for (name, value) in std::mem::take(headers) {
        // The name of a header with several values comes with the first one only.
        last = name.or(last);
        let Some(name) = last.clone() else { continue };
        let section = if is_plain(&name) { &mut *headers } else { &mut packed };
        section.append(name, value);
    }
    headers.insert(PACKED, HeaderValue::from(&PackedHeaders(packed)));
}

/// Unpacks the headers of a request; those that were set since stay.
///
/// # Errors
///
/// The packed headers are malformed.
pub fn unpack(headers: &mut HeaderMap) -> Result<(), DecodeHeadError> {
    let Some(value) = headers.remove(PACKED) else { return Ok(()) };
    let PackedHeaders(mut packed) = PackedHeaders::try_from(&value)?;
    for name in headers.keys() {
        packed.remove(name);
    }
    headers.extend(packed);
    Ok(())
}

/// Writes the digest of a request.
pub fn write_digest(headers: &mut HeaderMap, digest: RequestDigest) {
    write_text(headers, &DIGEST, &format!("{digest:032x}"));
}

/// Removes and parses the digest of a request; `None` if it is absent or malformed.
pub fn take_digest(headers: &mut HeaderMap) -> Option<RequestDigest> {
    let value = headers.remove(DIGEST)?;
    RequestDigest::from_str_radix(value.to_str().ok()?, 16).ok()
}

/// Removes and parses the tenant of a call; `None` if it has none.
///
/// # Errors
///
/// The header is malformed, so the tenant is not known.
pub fn take_tenant(headers: &mut HeaderMap) -> Result<Option<TenantHead>, DecodeHeadError> {
    headers.remove(TENANT_HEAD).map(|value| TenantHead::try_from(&value)).transpose()
}

/// Writes what the client of a request has done on its connection.
pub fn write_client(headers: &mut HeaderMap, client: ClientState) {
    if client.ahead > 0 {
        headers.insert(AHEAD, HeaderValue::from(client.ahead));
    }
    if client.is_sending {
        headers.insert(SENDING, HeaderValue::from_static("1"));
    }
}

/// Removes and parses what the client of a request has done on its connection; a malformed number of requests that
/// were sent ahead counts as 0.
pub fn take_client(headers: &mut HeaderMap) -> ClientState {
    let ahead = headers.remove(AHEAD);
    let ahead = ahead.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or_default();
    ClientState { ahead, is_sending: headers.remove(SENDING).is_some() }
}

/// Adds the origin of a request with a key.
pub fn write_origin(headers: &mut HeaderMap, origin: Origin) {
    headers.insert(ORIGIN, HeaderValue::from(u64::from(origin)));
}

/// Removes and parses the origin of a request with a key; unknown if it is absent or malformed.
pub fn take_origin(headers: &mut HeaderMap) -> Origin {
    let text = headers.remove(ORIGIN);
    let number: Option<u64> = text.and_then(|value| value.to_str().ok()?.parse().ok());
    number.map_or(Origin::UNKNOWN, Origin::from)
}

/// Removes and parses the identifier of the grant of a call's body; `None` if it is absent or malformed.
pub fn take_body_grant(headers: &mut HeaderMap) -> Option<u64> {
    headers.remove(BODY_GRANT)?.to_str().ok()?.parse().ok()
}

/// Size of the request target and the headers as HTTP/1.1 writes them, in bytes.
#[must_use]
pub fn section_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    let target = uri.path_and_query().map_or(0, |path| path.as_str().len());
    // Each line has a colon, a space and a line end.
    let line = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    target + headers.iter().map(line).sum::<usize>()
}

/// Memory of a request target and headers, in bytes.
#[must_use]
pub fn held_section_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    section_bytes(uri, headers) + HEADER_MEMORY_BYTES * headers.len()
}

/// Reads the time until the deadline; `None` if the header is absent.
pub fn read_timeout(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(format!("header `{name}` is not a number of milliseconds")),
    }
}

/// Writes the time until the deadline.
pub fn write_timeout(headers: &mut HeaderMap, name: &HeaderName, remaining: Duration) {
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(name.clone(), HeaderValue::from(millis));
}

/// Writes a text header; logs and skips a text that is not a valid header value.
pub fn write_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(e) => {
            tracing::warn!(header = %name, error = %e, "header left out: its value is not valid")
        }
    }
}

/// Writes the trace context for the next hop.
pub fn write_trace(headers: &mut HeaderMap, span: &Span) {
    if let Some(value) = span.context.to_header() {
        headers.insert(TRACEPARENT, value);
    }
}

/// Whether a request of a daemon or an operator carries the shared secret; true if none is set.
#[must_use]
pub fn has_token(settings: &Settings, headers: &HeaderMap) -> bool {
    let Some(token) = &settings.token else {
        return true;
    };
    let bearer = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let given = bearer.or(headers.get(TOKEN).map(HeaderValue::as_bytes));
    given.is_some_and(|given| constant_time_eq(given, token.as_bytes()))
}

/// Compares in constant time, so that the time does not reveal where the texts differ.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}
