//! Time in microseconds, and the clock that a driver reads.

use bitcode::{Decode, Encode};
use std::fmt;
use std::ops::{Add, Sub};

/// Microseconds since a start that all times of one clock share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct Span(pub u64);

impl Span {
    /// A span of so many milliseconds.
    pub const fn ms(n: u64) -> Span {
        Span(n * 1000)
    }
    /// Whole milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1000
    }
    /// The span as a standard duration.
    pub fn as_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Time {
    /// The span from `then`; zero if `then` is later.
    pub fn since(self, then: Time) -> Span {
        Span(self.0.saturating_sub(then.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, s: Span) -> Time {
        Time(self.0.saturating_add(s.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, s: Span) -> Time {
        Time(self.0.saturating_sub(s.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, s: Span) -> Span {
        Span(self.0.saturating_add(s.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.as_ms())
    }
}

/// A clock.
pub trait Clock: Send + Sync {
    /// The current time.
    fn now(&self) -> Time;
}

/// The machine's clock since boot, which also runs while the machine is suspended.
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let mut at = libc::timespec { tv_sec: 0, tv_nsec: 0 };
        let rc = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut at) };
        assert_eq!(rc, 0, "CLOCK_BOOTTIME must be readable");
        Time(at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1000)
    }
}
