//! `[snmp.notify]`: when notifications are sent.

use crate::reader::Section;

const DAY_MS: i64 = 86_400_000;
const MAX_PER_S: f64 = 1e9;
const MAX_PERMILLE: i64 = 1_000_000;

/// The section `[snmp.notify]`. A condition begins at its rising threshold and ends below its
/// falling threshold; a notification is sent for both. Times are 1 to 86,400,000 ms.
#[derive(Clone, Debug, PartialEq)]
pub struct NotificationSettings {
    /// `no-primary-ms`: time without a primary from which a group is reported, in milliseconds,
    /// default 5,000.
    pub no_primary_ms: u64,
    /// `search-lasting-ms`: time from which a primary search is reported, in milliseconds, default
    /// 2,000.
    pub search_lasting_ms: u64,
    /// `refusals-rising-per-s`: rejections of a class per second, default 10.
    pub rejections_rising_per_s: f64,
    /// `refusals-falling-per-s`: rejections of a class per second, default 2; below the rising
    /// threshold.
    pub rejections_falling_per_s: f64,
    /// `refusals-over-ms`: the time over which rejections are averaged, in milliseconds, default
    /// 5,000.
    pub rejections_window_ms: u64,
    /// `budget-rising-permille`: use of a tenant's quota in thousandths, 1 to 1,000,000, default
    /// 1,100.
    pub quota_rising_permille: u64,
    /// `budget-falling-permille`: use of a tenant's quota in thousandths, default 1,000; at most
    /// the rising threshold.
    pub quota_falling_permille: u64,
    /// `queue-rising-ms`: longest wait in a tenant's admission queue, in milliseconds, default 400.
    pub queue_wait_rising_ms: u64,
    /// `queue-falling-ms`: longest wait in a tenant's admission queue, in milliseconds, default
    /// 100; at most the rising threshold.
    pub queue_wait_falling_ms: u64,
    /// `storm`: maximum number of notifications within the window of `storm-window-ms`, 1 to
    /// 100,000, default 20; further ones are combined into one.
    pub storm_limit: usize,
    /// `storm-window-ms`: the window of `storm`, in milliseconds, default 10,000.
    pub storm_window_ms: u64,
}

impl NotificationSettings {
    pub(super) fn read(snmp: &Section<'_>) -> Self {
        let section = snmp.section("notify");
        let ms = |key: &str, default| {
            section
                .integer(key, Some(default), 1..=DAY_MS)
                .unsigned_abs()
        };
        let permille = |key: &str, default| {
            section
                .integer(key, Some(default), 1..=MAX_PERMILLE)
                .unsigned_abs()
        };
        let read = Self {
            no_primary_ms: ms("no-primary-ms", 5000),
            search_lasting_ms: ms("search-lasting-ms", 2000),
            rejections_rising_per_s: section.above_zero(
                "refusals-rising-per-s",
                Some(10.0),
                MAX_PER_S,
            ),
            rejections_falling_per_s: section.number(
                "refusals-falling-per-s",
                Some(2.0),
                0.0..=MAX_PER_S,
            ),
            rejections_window_ms: ms("refusals-over-ms", 5000),
            quota_rising_permille: permille("budget-rising-permille", 1100),
            quota_falling_permille: permille("budget-falling-permille", 1000),
            queue_wait_rising_ms: ms("queue-rising-ms", 400),
            queue_wait_falling_ms: ms("queue-falling-ms", 100),
            storm_limit: section.size("storm", 20, 1..=100_000),
            storm_window_ms: ms("storm-window-ms", 10_000),
        };
        read.check(&section);
        snmp.put("notify", section.finish());
        read
    }

    /// Checks each falling threshold against its rising threshold.
    fn check(&self, section: &Section<'_>) {
        if self.rejections_falling_per_s >= self.rejections_rising_per_s {
            section.fault(
                "refusals-falling-per-s",
                "must be below refusals-rising-per-s",
            );
        }
        if self.queue_wait_falling_ms > self.queue_wait_rising_ms {
            section.fault("queue-falling-ms", "must not be above queue-rising-ms");
        }
        if self.quota_falling_permille > self.quota_rising_permille {
            section.fault(
                "budget-falling-permille",
                "must not be above budget-rising-permille",
            );
        }
    }
}
