//! Finds the boundaries of the requests on an HTTP/1.1 connection. No I/O.
//!
//! A head is parsed once its last empty line has arrived, so the result does not depend on
//! how the bytes were split. Whatever is ambiguous or not understood turns the framing
//! off; the HTTP library then decides alone.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// Limit on the number of header fields, the same as in the HTTP library.
const MAX_HEADERS: usize = 100;
/// Limit on the bytes of empty lines before a request: one line, which some callers send
/// behind a body.
const MAX_LEADING_BYTES: usize = 2;
/// First line of a connection that uses HTTP/2 without negotiation.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";

/// Reason why the boundaries of further requests are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OffReason {
    /// The connection uses HTTP/2.
    Http2,
    /// A request uses an older version of HTTP.
    OldVersion,
    /// A head is malformed.
    Malformed,
    /// A line of a head ends without a carriage return.
    BareLineFeed,
    /// A head exceeds `limits.head_bytes`.
    HeadSize,
    /// A body has a transfer coding, possibly besides a length.
    TransferEncoding,
    /// A length is malformed, or given more than once.
    BodyLength,
    /// A request asks for another protocol.
    Upgrade,
    /// The HTTP library has read another request than the framing.
    Mismatch,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
}

/// A request of which the head has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Framed {
    /// Length of the head in bytes, with empty lines before it.
    pub(crate) head_bytes: usize,
    /// Length of the body in bytes.
    pub(crate) body_bytes: u64,
    /// The head, if it was asked for and the request may be started before its turn.
    pub(crate) head: Option<Box<Head>>,
}

/// What was found in the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    /// The head of a request is complete.
    Request(Framed),
    /// Nothing is found from now on.
    Off(OffReason),
}

/// Position within the bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    /// Within a body of which this many bytes have not been consumed; never zero.
    Body(u64),
    /// Behind the last request whose boundaries are known.
    Off,
}

/// Finds requests in the bytes of a connection.
#[derive(Debug)]
pub(crate) struct Framing {
    max_head_bytes: usize,
    position: Position,
    /// Consumed bytes of a head that is not complete.
    partial: Vec<u8>,
}

/// Fields of a head that decide on the framing.
struct Fields {
    body_bytes: u64,
    /// Whether the connection ends after the request.
    closes: bool,
    /// Whether the request may be started before its turn, if its route allows it.
    may_start: bool,
}

impl Framing {
    /// Creates the framing of a new connection.
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self { max_head_bytes, position: Position::Head, partial: Vec::new() }
    }

    /// Returns whether requests are still found.
    pub(crate) fn is_on(&self) -> bool {
        self.position != Position::Off
    }

    /// Returns the number of bytes that the current body still needs.
    pub(crate) fn body_left(&self) -> u64 {
        match self.position {
            Position::Body(left) => left,
            Position::Head | Position::Off => 0,
        }
    }

    /// Consumes bytes of the current body.
    pub(crate) fn skip_body(&mut self, bytes: u64) {
        if let Position::Body(left) = self.position {
            let left = left.saturating_sub(bytes);
            self.position = if left == 0 { Position::Head } else { Position::Body(left) };
        }
    }

    /// Stops finding requests.
    pub(crate) fn turn_off(&mut self) {
        self.position = Position::Off;
        self.partial = Vec::new();
    }

    /// Consumes bytes up to the end of the next head. Returns their number and what was
    /// found; bytes behind it have to be passed again. `wants_head` asks for the head of a
    /// request that may be started before its turn.
    pub(crate) fn next(&mut self, bytes: &[u8], wants_head: bool) -> (usize, Option<Item>) {
        let skipped = self.body_left().min(bytes.len() as u64);
        self.skip_body(skipped);
        let skipped = skipped as usize;
        match self.position {
            Position::Off => (bytes.len(), None),
            Position::Body(_) => (skipped, None),
            Position::Head => {
                let (consumed, item) = self.next_head(&bytes[skipped..], wants_head);
                (skipped + consumed, item)
            }
        }
    }

    fn next_head(&mut self, bytes: &[u8], wants_head: bool) -> (usize, Option<Item>) {
        let known = self.partial.len();
        // Bytes are copied only if a head arrives in pieces.
        let mut partial = std::mem::take(&mut self.partial);
        let head = if partial.is_empty() {
            bytes
        } else {
            partial.extend_from_slice(bytes);
            &partial
        };
        let mut from = known;
        while let Some(end) = empty_line_end(head, from) {
            if end > self.max_head_bytes {
                break;
            }
            match self.parse(&head[..end], wants_head) {
                Ok(Some(framed)) => return (end - known, Some(Item::Request(framed))),
                // The empty line is before the request line.
                Ok(None) => from = end,
                Err(reason) => {
                    self.turn_off();
                    return (end - known, Some(Item::Off(reason)));
                }
            }
        }
        if head.len() > self.max_head_bytes {
            self.turn_off();
            return (bytes.len(), Some(Item::Off(OffReason::HeadSize)));
        }
        if partial.is_empty() {
            partial.extend_from_slice(bytes);
        }
        self.partial = partial;
        (bytes.len(), None)
    }

    /// Parses bytes that end with an empty line. Returns `None` if they hold no request.
    fn parse(&mut self, bytes: &[u8], wants_head: bool) -> Result<Option<Framed>, OffReason> {
        if bytes.starts_with(HTTP2_PREFACE) {
            return Err(OffReason::Http2);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(parsed)) if parsed == bytes.len() => {}
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_LEADING_BYTES => return Ok(None),
            Ok(_) | Err(_) => return Err(OffReason::Malformed),
        }
        if has_bare_line_feed(bytes) {
            return Err(OffReason::BareLineFeed);
        }
        let fields = Fields::of(&request)?;
        let head =
            if wants_head && fields.may_start { Some(Box::new(head(&request)?)) } else { None };
        self.position = match fields.body_bytes {
            _ if fields.closes => Position::Off,
            0 => Position::Head,
            left => Position::Body(left),
        };
        Ok(Some(Framed { head_bytes: bytes.len(), body_bytes: fields.body_bytes, head }))
    }
}

impl Fields {
    /// Returns the fields of a request, by the rules of RFC 9112, section 6. Where those
    /// leave a choice, the request is not framed.
    fn of(request: &httparse::Request<'_, '_>) -> Result<Self, OffReason> {
        if request.version != Some(1) {
            return Err(OffReason::OldVersion);
        }
        let method = request.method.unwrap_or_default();
        if method == Method::CONNECT.as_str() {
            return Err(OffReason::Upgrade);
        }
        let mut length = None;
        let mut closes = false;
        let mut may_start = method == Method::GET.as_str() || method == Method::HEAD.as_str();
        for header in request.headers.iter() {
            let is = |name: HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
            if is(http::header::TRANSFER_ENCODING) {
                return Err(OffReason::TransferEncoding);
            }
            if is(http::header::UPGRADE) {
                return Err(OffReason::Upgrade);
            }
            if is(http::header::CONTENT_LENGTH) {
                let found = parse_length(header.value);
                if found.is_none() || length.is_some() {
                    return Err(OffReason::BodyLength);
                }
                length = found;
            }
            if is(http::header::CONNECTION) {
                closes |= header.value.split(|&byte| byte == b',').any(is_close);
            }
            may_start &= !is(http::header::EXPECT);
        }
        let body_bytes = length.unwrap_or(0);
        Ok(Self { body_bytes, closes, may_start: may_start && body_bytes == 0 })
    }
}

/// Returns whether an option of `Connection` ends the connection.
fn is_close(option: &[u8]) -> bool {
    option.trim_ascii().eq_ignore_ascii_case(b"close")
}

/// Parses a length: digits only, without sign, spaces or overflow.
fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let length: i64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    u64::try_from(length).ok()
}

/// Returns the position behind the first empty line that ends at or after `from`. Lines
/// may end with a line feed only, as the parser accepts it.
fn empty_line_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .find(|&end| {
            let before = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
            bytes[end] == b'\n' && (before.is_empty() || before.ends_with(b"\n"))
        })
        .map(|end| end + 1)
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut previous = 0;
    bytes.iter().any(|&byte| std::mem::replace(&mut previous, byte) != b'\r' && byte == b'\n')
}

/// Returns the head of a parsed request.
fn head(request: &httparse::Request<'_, '_>) -> Result<Head, OffReason> {
    let malformed = |_| OffReason::Malformed;
    let method = request.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| OffReason::Malformed)?;
    let uri = request.path.unwrap_or_default().parse::<Uri>().map_err(malformed)?;
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(OffReason::Malformed);
        };
        headers.append(name, value);
    }
    Ok(Head { method, uri, headers })
}

#[cfg(test)]
mod tests;
