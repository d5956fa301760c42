//! Parser for request heads: the request line and the headers.

use bytes::Buf;
use bytes::BytesMut;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};

use super::HeadError;

/// Headers for which there is room without an allocation; most requests have fewer.
const USUAL_HEADERS: usize = 64;

/// Shortest header: a name of one byte, a colon and the line end. So the limit on bytes also limits the number.
const MIN_HEADER_BYTES: usize = 4;

/// How the end of a request body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes; 0 if the request has no body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Head of a request.
#[derive(Debug)]
pub struct Head {
    /// The request, without its body.
    pub request: Request<()>,
    /// How the end of its body is determined.
    pub framing: Framing,
    /// Whether another request may follow on the connection.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Head or what is wrong with it, and its length in bytes.
type ParsedHead = (Result<Head, HeadError>, usize);

/// Parses a request head and removes it from the front of `buf`; `None` while it is incomplete.
pub fn take_head(buf: &mut BytesMut) -> Result<Option<Head>, HeadError> {
    let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADERS];
    let parsed = match parse_into(&mut usual, buf) {
        Err(httparse::Error::TooManyHeaders) => {
            let mut many = vec![httparse::EMPTY_HEADER; buf.len() / MIN_HEADER_BYTES];
            parse_into(&mut many, buf)
        }
        parsed => parsed,
    };
    let Some((head, len)) = parsed.ok().ok_or(HeadError::Malformed("the head is malformed"))?
    else {
        return Ok(None);
    };
    let head = head?;
    buf.advance(len);
    Ok(Some(head))
}

/// Parses a head with room for as many headers as `headers` has; returns it with its length, or `None` while it is
/// incomplete.
fn parse_into<'a>(
    headers: &mut [httparse::Header<'a>],
    buf: &'a [u8],
) -> Result<Option<ParsedHead>, httparse::Error> {
    let mut parsed = httparse::Request::new(headers);
    match parsed.parse(buf)? {
        httparse::Status::Complete(len) => Ok(Some((parse_head(&parsed), len))),
        httparse::Status::Partial => Ok(None),
    }
}

fn parse_head(parsed: &httparse::Request<'_, '_>) -> Result<Head, HeadError> {
    let malformed = HeadError::Malformed;
    let method = parsed.method.and_then(|method| Method::from_bytes(method.as_bytes()).ok());
    let uri: Option<Uri> = parsed.path.and_then(|path| path.parse().ok());
    let mut request = Request::new(());
    *request.method_mut() = method.ok_or(malformed("the method is malformed"))?;
    *request.uri_mut() = uri.ok_or(malformed("the target is malformed"))?;
    let is_http11 = parsed.version == Some(1);
    *request.version_mut() = if is_http11 { Version::HTTP_11 } else { Version::HTTP_10 };
    let headers = parse_headers(parsed)?;
    let host_count = headers.get_all(HOST).iter().count();
    if host_count > 1 || (is_http11 && host_count == 0) {
        return Err(malformed("the request does not have one host"));
    }
    let framing = framing(&headers, is_http11)?;
    let keep_alive =
        if is_http11 { !has_option(&headers, "close") } else { has_option(&headers, "keep-alive") };
    let expects =
        headers.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let expects_continue = is_http11 && expects;
    *request.headers_mut() = headers;
    Ok(Head { request, framing, keep_alive, expects_continue })
}

fn parse_headers(parsed: &httparse::Request<'_, '_>) -> Result<HeaderMap, HeadError> {
    let malformed = || HeadError::Malformed("a header is malformed");
    let headers = HeaderMap::try_with_capacity(parsed.headers.len());
    let mut headers = headers.ok().ok_or(HeadError::TooLarge)?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok().ok_or_else(malformed)?;
        let value = HeaderValue::from_bytes(header.value).ok().ok_or_else(malformed)?;
        headers.try_append(name, value).ok().ok_or(HeadError::TooLarge)?;
    }
    Ok(headers)
}

/// Determines the framing of a request body.
///
/// A request whose end two HTTP implementations could see at different places is refused, which prevents
/// request smuggling.
fn framing(headers: &HeaderMap, is_http11: bool) -> Result<Framing, HeadError> {
    let malformed = HeadError::Malformed;
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    if let Some(coding) = codings.next() {
        if !is_http11 || lengths.next().is_some() || codings.next().is_some() {
            return Err(malformed("the length of the body is ambiguous"));
        }
        if !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(malformed("the transfer coding is not supported"));
        }
        return Ok(Framing::Chunked);
    }
    let Some(length) = lengths.next() else {
        return Ok(Framing::Length(0));
    };
    let digits = length.as_bytes();
    if lengths.next().is_some() || digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(malformed("the length of the body is ambiguous"));
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Framing::Length).ok_or(malformed("the length of the body is malformed"))
}

/// Whether the `Connection` header has an option, such as `close`.
pub fn has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|found| found.trim().eq_ignore_ascii_case(option))
}
