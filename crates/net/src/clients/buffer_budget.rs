//! How many bytes of answers may be held on their way to clients, over all connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What is taken at once of an answer that is passed on: so much while there is room, and the least in any case, so
/// that each goes on however many there are.
const PIECE: usize = 16 * 1024;
const LEAST: usize = 4 * 1024;

/// The bytes that all connections hold: of answers that came whole, and pieces of those that are passed on.
#[derive(Debug)]
pub(super) struct Budget {
    most: AtomicUsize,
    used: AtomicUsize,
}

impl Budget {
    pub(super) const fn new(most: usize) -> Self {
        Self {
            most: AtomicUsize::new(most),
            used: AtomicUsize::new(0),
        }
    }

    /// So many bytes at the most, from now on.
    pub(super) fn set(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// So many bytes came whole, and are held until they are written.
    pub(super) fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// So many have been written, or are let go of.
    pub(super) fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Whether all room is taken: what is asked now could not be answered.
    pub(super) fn is_full(&self) -> bool {
        self.used.load(Ordering::Relaxed) >= self.most.load(Ordering::Relaxed)
    }

    /// Room for one piece of an answer that is passed on. Beyond half of all room only the least is given: these
    /// answers leave the other half to those that come whole.
    pub(super) fn piece(self: &Arc<Self>) -> Piece {
        let long =
            self.used.load(Ordering::Relaxed) + PIECE <= self.most.load(Ordering::Relaxed) / 2;
        let bytes = if long { PIECE } else { LEAST };
        self.add(bytes);
        Piece {
            budget: Arc::clone(self),
            bytes,
        }
    }
}

/// Room for a piece; it is given back when it is let go of.
#[derive(Debug)]
pub(super) struct Piece {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Piece {
    /// How long a piece may be.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_leave_half_of_the_room_and_none_is_without_one() {
        let budget = Arc::new(Budget::new(8 * PIECE));
        let mut pieces: Vec<_> = (0..6).map(|_| budget.piece()).collect();
        let lengths: Vec<_> = pieces.iter().map(Piece::bytes).collect();
        assert_eq!(lengths, [PIECE, PIECE, PIECE, PIECE, LEAST, LEAST]);
        assert!(!budget.is_full());
        budget.add(4 * PIECE);
        assert!(budget.is_full());
        assert_eq!(budget.piece().bytes(), LEAST, "it goes on all the same");
        budget.give_back(4 * PIECE);
        pieces.truncate(2);
        assert_eq!(
            budget.piece().bytes(),
            PIECE,
            "what was let go of is room again"
        );
        drop(pieces);
        assert_eq!(budget.used.load(Ordering::Relaxed), 0);
    }
}
