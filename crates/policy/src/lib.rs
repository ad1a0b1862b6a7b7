#![forbid(unsafe_code)]
//! Decides for a read/write splitter in front of database groups: one primary and its replicas each.
//!
//! [`Router`] is a state machine without input or output of its own. An embedder hands it whole batches of
//! [`PolicyEvent`]s with the time of its clock and carries out the [`Action`]s that come back, in their order.
//!
//! ```
//! use valehatch_policy::*;
//!
//! let ms = Span::from_millis;
//! let settings = Settings {
//!     classes: vec![Class {
//!         need: Need::Bounded(ms(1500)),
//!         effect: Effect::Safe,
//!         aim: ms(600),
//!         aim_stretch: 0.0,
//!         deadline: ms(1500),
//!         worth: 1.0,
//!         late_worth: 0.2,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: None,
//!     list_mode: ListMode::Pushed,
//!     listed_role: ListedRole::Trailing,
//!     checks: Checks::Bounce,
//!     sessions: Sessions::Brought,
//!     routers: 3,
//!     zone: ZoneId(0),
//!     tick: ms(5),
//!     limits: Limits {
//!         cancel: true,
//!         probing: true,
//!         second_copies: false,
//!         retry_after: true,
//!         max_attempts: 10,
//!         max_retry_after: ms(500),
//!         max_open: 20_000,
//!         conn_idle: Span::from_millis(15_000),
//!     },
//!     rules: Rules {
//!         ask_within: ms(10_000),
//!         cold_from: 0.2,
//!         cold: ms(15_000),
//!         tip_multiple: 2.5,
//!         tip_after: ms(1500),
//!         removal_not_binding: false,
//!     },
//! };
//! let mut router = Router::new(settings, 42)?;
//! let entry = |id, primary| Entry {
//!     node: NodeId(id),
//!     group: GroupId(0),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     weight: 1.0,
//!     started: None,
//!     primary,
//!     state: NodeState::Ready,
//! };
//! let list = Event::List { complete: true, entries: vec![entry(1, true), entry(2, false)] };
//! let mut actions = Vec::new();
//! let read = Event::Request(Request {
//!     id: RequestId(1),
//!     session: None,
//!     time_left: ms(500),
//!     group: GroupId(0),
//!     class: ClassId(0),
//!     tenant: None,
//!     work: None,
//!     repeat: false,
//!     wrote_ago: None,
//! });
//! router.step(Time(1_000_000), &[list, read], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Probe { .. })));
//! # Ok::<(), SettingsError>(())
//! ```

mod decide;
mod interface;

pub use decide::Router;
pub use interface::*;
