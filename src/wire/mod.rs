//! Frames between nodes and on disk, and the encoding of envelopes.
//!
//! A frame is a header and a body. The header holds the length of the body, a checksum of the length and a
//! checksum of the body, each in 4 bytes, little-endian. The body of a network frame holds an envelope: the
//! protocol version, sender and receiver, and a message as encoded by `message`.

use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::{FleetId, NodeId};
use crate::msg::Envelope;
use bitcode::{Decode, Encode};
use std::cell::RefCell;
use std::net::SocketAddr;

mod message;

/// The maximum body of a frame from the network, in bytes.
pub const MAX_NETWORK_BODY: usize = 32 << 20;
/// The maximum body of a frame on disk, in bytes.
pub const MAX_DISK_BODY: usize = 64 << 20;
/// The length of a frame's header in bytes.
pub const FRAME_HEADER_LEN: usize = 12;
/// The version of the encoding of envelopes; nodes accept only their own.
const PROTOCOL_VERSION: u8 = 4;
/// A coder that encoded or decoded a message larger than this is not kept for the next one.
const MAX_KEPT_CODER: usize = 64 << 10;

thread_local! {
    /// Kept per thread: building the state of a coder for all kinds of messages takes longer than encoding
    /// most envelopes.
    static CODER: RefCell<bitcode::Buffer> = RefCell::default();
}

/// The frame of a body.
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut raw = Vec::with_capacity(FRAME_HEADER_LEN + body.len());
    let len = (body.len() as u32).to_le_bytes();
    raw.extend(len);
    raw.extend((crc32fast::hash(&len) ^ 0x5d1d_10c4).to_le_bytes());
    raw.extend(crc32fast::hash(body).to_le_bytes());
    raw.extend(body);
    raw
}

/// The length of the body that follows this header.
///
/// # Errors
///
/// The length is damaged, or exceeds `most`.
pub fn body_len(head: &[u8; FRAME_HEADER_LEN], most: usize) -> Result<usize, Fault> {
    let word = |n: usize| u32::from_le_bytes(head[n..n + 4].try_into().expect("four bytes"));
    let len = word(0) as usize;
    if crc32fast::hash(&head[..4]) ^ 0x5d1d_10c4 != word(4) {
        return Err(Fault::new(
            Kind::Wire,
            "frame",
            "its length is damaged",
            "the link is closed; none needed",
        ));
    }
    if len > most {
        let what = format!("it is {len} bytes long");
        return Err(Fault::new(
            Kind::Wire,
            "frame",
            what,
            "run one release on all nodes; the link is closed",
        ));
    }
    Ok(len)
}

/// The body, once its checksum has been verified.
///
/// # Errors
///
/// The body is damaged.
pub fn checked_body<'a>(head: &[u8; FRAME_HEADER_LEN], body: &'a [u8]) -> Result<&'a [u8], Fault> {
    let sum = u32::from_le_bytes(head[8..12].try_into().expect("four bytes"));
    if crc32fast::hash(body) != sum {
        return Err(Fault::new(
            Kind::Wire,
            "frame",
            "its checksum is wrong",
            "the link is closed; none needed",
        ));
    }
    Ok(body)
}

/// The body of the frame at the start of `raw`, and the length of the whole frame.
///
/// # Errors
///
/// The frame is incomplete, damaged, or its body exceeds `most`.
pub fn decode_frame(raw: &[u8], most: usize) -> Result<(&[u8], usize), Fault> {
    let short = || Fault::new(Kind::Wire, "frame", "it ends early", "none needed");
    let head: &[u8; FRAME_HEADER_LEN] =
        raw.get(..FRAME_HEADER_LEN).and_then(|h| h.try_into().ok()).ok_or_else(short)?;
    let len = body_len(head, most)?;
    let part = raw.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len).ok_or_else(short)?;
    Ok((checked_body(head, part)?, FRAME_HEADER_LEN + len))
}

/// The frame of an envelope.
pub fn encode_envelope(envelope: &Envelope) -> Vec<u8> {
    CODER.with_borrow_mut(|coder| {
        let mut body = vec![PROTOCOL_VERSION];
        let ends = Ends { from: envelope.from, to: envelope.to, fleet: envelope.fleet, addr: envelope.addr };
        append(&mut body, coder.encode(&ends));
        message::put(&envelope.msg, coder, &mut body);
        if body.len() > MAX_KEPT_CODER {
            *coder = bitcode::Buffer::default();
        }
        encode_frame(&body)
    })
}

/// The envelope in the body of a frame.
///
/// # Errors
///
/// The body is malformed or of another protocol version.
pub fn decode_envelope(body: &[u8]) -> Result<Envelope, Fault> {
    let bad = |what: &str| Fault::new(Kind::Wire, "letter", what, "run one release on all nodes");
    let Some((version, rest)) = body.split_first() else { return Err(bad("it is empty")) };
    if *version != PROTOCOL_VERSION {
        return Err(bad("it has another protocol version"));
    }
    let (ends, rest) = split(rest).ok_or_else(|| bad("it ends early"))?;
    let decoded = match rest.len() {
        0..=MAX_KEPT_CODER => CODER.with_borrow_mut(|coder| read(ends, rest, coder)),
        _ => read(ends, rest, &mut bitcode::Buffer::default()),
    };
    decoded.ok_or_else(|| bad("its message does not decode"))
}

fn read(ends: &[u8], rest: &[u8], coder: &mut bitcode::Buffer) -> Option<Envelope> {
    let Ends { from, to, fleet, addr } = coder.decode(ends).ok()?;
    let msg = message::take(rest, coder)?;
    Some(Envelope { from, to, fleet, addr, msg })
}

/// Sender and receiver of an envelope.
#[derive(Encode, Decode)]
struct Ends {
    from: NodeId,
    to: NodeId,
    fleet: FleetId,
    addr: SocketAddr,
}

/// Appends a part, preceded by its length in 2 bytes.
fn append(body: &mut Vec<u8>, part: &[u8]) {
    body.extend((part.len() as u16).to_le_bytes());
    body.extend(part);
}

/// The first part, and what follows it.
fn split(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let (len, rest) = body.split_first_chunk::<2>()?;
    let len = u16::from_le_bytes(*len) as usize;
    Some((rest.get(..len)?, rest.get(len..)?))
}
