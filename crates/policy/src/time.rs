//! Moments and durations of the embedder's clock, in whole microseconds. Addition and subtraction
//! saturate.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A moment of the embedder's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A duration, in microseconds; may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub i64);

impl Span {
    /// A duration of whole milliseconds.
    #[must_use]
    pub const fn from_millis(ms: i64) -> Self {
        Self(ms * 1000)
    }

    /// A duration of `micros` microseconds, truncated to a whole number.
    pub(crate) const fn from_micros(micros: f64) -> Self {
        Self(micros as i64)
    }

    /// The duration times a factor, truncated to whole microseconds.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as i64)
    }

    /// The duration in microseconds, as a float.
    #[must_use]
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

impl Mul<i64> for Span {
    type Output = Self;
    fn mul(self, factor: i64) -> Self {
        Self(self.0 * factor)
    }
}

impl Div<i64> for Span {
    type Output = Self;
    fn div(self, divisor: i64) -> Self {
        Self(self.0 / divisor)
    }
}
