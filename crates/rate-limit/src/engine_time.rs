//! Timeliness of SNMPv3 messages: boots and time of an authoritative engine (RFC 3414, section
//! 2.2).

/// Seconds by which a message's time may differ from the engine's.
pub const TIME_WINDOW_S: u32 = 150;
/// The maximum of snmpEngineBoots, at which it stays; no message is timely any more then.
pub const MAX_BOOTS: u32 = 2_147_483_647;

/// Boots and time of an authoritative engine (RFC 3414, section 2.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTime {
    /// snmpEngineBoots.
    pub boots: u32,
    /// snmpEngineTime: seconds since the engine booted.
    pub time: u32,
}

impl EngineTime {
    /// Whether a message with these boots and time is timely at the authoritative engine (section
    /// 3.2, step 7a).
    #[must_use]
    pub const fn is_timely(self, boots: u32, time: u32) -> bool {
        self.boots != MAX_BOOTS && boots == self.boots && self.time.abs_diff(time) <= TIME_WINDOW_S
    }

    /// Updates the record of another engine after an authentic message from it: the newer of both
    /// values (section 3.2, step 7b).
    #[must_use]
    pub const fn updated_by(self, boots: u32, time: u32) -> Self {
        let newer = boots > self.boots || boots == self.boots && time > self.time;
        if newer { Self { boots, time } } else { self }
    }
}
