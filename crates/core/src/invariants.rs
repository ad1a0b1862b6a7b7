//! What must hold after every step.

use crate::prelude::*;

impl State {
    /// What must hold after every turn; the lab asks for it.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let out = self.attempts.len();
        let on = self
            .conns
            .values()
            .filter(|c| matches!(c.used, Use::Attempt(..)))
            .count();
        if out != on {
            return Err(format!("{out} attempts are out, on {on} connections"));
        }
        let idle = self.conns.iter().filter_map(|(id, c)| {
            if let Use::Idle(at) = c.used {
                Some((c.endpoint, at, *id))
            } else {
                None
            }
        });
        let noted = self
            .idle
            .iter()
            .flat_map(|(endpoint, s)| s.iter().map(|(at, id)| (*endpoint, *at, *id)));
        if idle.collect::<BTreeSet<_>>() != noted.collect() {
            return Err("connections that carry nothing are not those that are noted".into());
        }
        if let Some(door) = &self.door {
            door.check_invariants()?;
            let queued = self
                .requests
                .values()
                .filter(|h| h.queued.is_some())
                .count();
            if queued != door.len() {
                return Err(format!(
                    "{queued} requests wait for the door, which has {}",
                    door.len()
                ));
            }
        }
        Ok(())
    }
}
