//! What the two processes say to each other: a length (four bytes), the version (two), then postcard.

use serde::{Deserialize, Serialize};

use crate::share::ProcessLimits;

/// Another form takes another number; who does not speak it is answered nothing, and starts as after a crash.
pub const VERSION: u16 = 2;
/// The longest word: a snapshot of a large deployment, and what is around it.
pub const MOST: usize = 16 * 1024 * 1024 + 1024;
/// Bytes in front of a word.
pub const HEAD: usize = 6;

/// A word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoffMessage {
    /// The new one asks, for the gateway of this name.
    Ask(String),
    /// The old one hands its listening socket over, which comes along, and what it knows: a snapshot.
    Take(Vec<u8>),
    /// Another upgrade is under way, or the gateway has another name: ask again later.
    Busy,
    /// What the old one holds; it may take on more.
    Held(ProcessLimits),
    /// What the old one holds; it takes on nothing more.
    Leaves(ProcessLimits),
    /// The new one serves.
    Ready,
    /// Either was told of another list by discovery: all that it holds now.
    List(Vec<u8>),
}

/// The bytes of a word.
#[must_use]
pub fn encode(word: &HandoffMessage) -> Vec<u8> {
    let body = postcard::to_stdvec(word).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    [&length.to_be_bytes()[..], &VERSION.to_be_bytes(), &body].concat()
}

/// How many bytes follow this head.
///
/// # Errors
/// Of another version, or longer than any word.
pub fn length(head: [u8; HEAD]) -> Result<usize, String> {
    let [a, b, c, d, v, w] = head;
    let (length, version) = (u32::from_be_bytes([a, b, c, d]), u16::from_be_bytes([v, w]));
    if version != VERSION {
        return Err(format!("it speaks version {version}, not {VERSION}"));
    }
    usize::try_from(length)
        .ok()
        .filter(|l| *l <= MOST)
        .ok_or_else(|| format!("a word of {length} bytes"))
}

/// The word that these bytes are.
///
/// # Errors
/// They are none.
pub fn decode(body: &[u8]) -> Result<HandoffMessage, String> {
    match postcard::take_from_bytes(body) {
        Ok((word, [])) => Ok(word),
        Ok(_) => Err("bytes behind a word".into()),
        Err(e) => Err(format!("no word: {e}")),
    }
}
