//! Moments and spans of the embedder's clock, in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

/// A moment of the embedder's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub i64);

impl Span {
    /// A span of whole milliseconds.
    #[must_use]
    pub const fn from_millis(ms: i64) -> Self {
        Self(ms * 1000)
    }
    /// The span times a factor, cut to whole microseconds.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as i64)
    }
    /// The span in microseconds, as a float.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, by: Span) -> Self {
        Self(self.0.saturating_add(by.0))
    }
}
impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, by: Span) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}
impl Sub<Self> for Time {
    type Output = Span;
    fn sub(self, from: Self) -> Span {
        Span(self.0.saturating_sub(from.0))
    }
}
impl Add<Self> for Span {
    type Output = Self;
    fn add(self, by: Self) -> Self {
        Self(self.0.saturating_add(by.0))
    }
}
impl AddAssign<Self> for Span {
    fn add_assign(&mut self, by: Self) {
        *self = *self + by;
    }
}
impl Sub<Self> for Span {
    type Output = Self;
    fn sub(self, by: Self) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}
