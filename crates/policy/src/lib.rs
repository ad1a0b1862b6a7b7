#![forbid(unsafe_code)]
//! The decision module of a read/write splitter in front of replication groups, each with one
//! primary and its replicas. It decides which endpoint a request is sent to, whether the request is
//! retried, and which requests are rejected.
//!
//! [`Router`] is a state machine without I/O, clock or threads. An embedder passes it
//! [`PolicyEvent`]s in batches, with the time of the embedder's clock, and carries out the returned
//! [`Action`]s in order. The same settings, seed and events give the same actions.
//!
//! | module | purpose |
//! | --- | --- |
//! | `router` | the step: events in, actions out |
//! | `endpoint_list` | applies the endpoint list, and polls it |
//! | `scheduling` | order of the waiting requests; when they are given up |
//! | `load_shedding` | which new requests are rejected under overload |
//! | `primary_search` | finds a group's primary; selects the endpoint of a write |
//! | `replica_selection` | selects the endpoint of a read |
//! | `sessions` | read-your-writes consistency |
//! | `concurrency_limit`, `slow_start` | limits on what an endpoint is sent |
//! | `outlier_detection`, `health_checks` | which endpoints may be used; what load reports show |
//! | `retry` | ends of attempts; until when a request may be retried |
//! | `latency` | latency estimates |
//! | `endpoint`, `group` | state of one endpoint and of one group |
//! | `view` | read-only view of the state, for observers |
//! | `events`, `settings`, `ids`, `time` | inputs and outputs, settings, ids, and time types |
//!
//! ```
//! use valehatch_policy::*;
//!
//! let ms = Span::from_millis;
//! let settings = Settings {
//!     classes: vec![RequestClass {
//!         consistency: Consistency::BoundedStaleness(ms(1500)),
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: ms(600),
//!         latency_objective_stretch: 0.0,
//!         deadline: ms(1500),
//!         priority_weight: 1.0,
//!         late_priority_weight: 0.2,
//!     }],
//!     tenants: vec![],
//!     over_quota_priority_weight: None,
//!     discovery_mode: DiscoveryMode::Watch,
//!     listed_role: ListedRole::Trailing,
//!     stale_read_policy: StaleReadPolicy::Reject,
//!     sessions: SessionTracking::ClientProvided,
//!     routers: 3,
//!     zone: ZoneId(0),
//!     tick: ms(5),
//!     limits: Limits {
//!         cancel: true,
//!         health_checks: true,
//!         hedged_requests: false,
//!         retry_after: true,
//!         max_attempts: 10,
//!         max_retry_after: ms(500),
//!         max_open_requests: 20_000,
//!         idle_connection_timeout: Span::from_millis(15_000),
//!     },
//!     rules: Rules {
//!         max_poll_interval: ms(10_000),
//!         slow_start_initial_capacity: 0.2,
//!         slow_start_duration: ms(15_000),
//!         overload_multiple: 2.5,
//!         overload_duration: ms(1500),
//!         removal_is_advisory: false,
//!     },
//! };
//! let mut router = Router::new(settings, 42)?;
//! let entry = |id, primary| EndpointRecord {
//!     endpoint: EndpointId(id),
//!     group: GroupId(0),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     weight: 1.0,
//!     started: None,
//!     primary,
//!     state: EndpointState::Ready,
//! };
//! let list = PolicyEvent::EndpointList { complete: true, entries: vec![entry(1, true), entry(2, false)] };
//! let mut actions = Vec::new();
//! let read = PolicyEvent::Request(Request {
//!     id: RequestId(1),
//!     session: None,
//!     time_left: ms(500),
//!     group: GroupId(0),
//!     class: ClassId(0),
//!     tenant: None,
//!     work: None,
//!     is_client_retry: false,
//!     since_last_write: None,
//! });
//! router.step(Time(1_000_000), &[list, read], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::HealthCheck { .. })));
//! # Ok::<(), SettingsError>(())
//! ```

mod concurrency_limit;
mod endpoint;
mod endpoint_list;
mod events;
mod group;
mod health_checks;
mod ids;
mod latency;
mod load_shedding;
mod outlier_detection;
mod primary_search;
mod replica_selection;
mod retry;
mod router;
mod scheduling;
mod sessions;
mod settings;
mod slow_start;
mod time;
mod view;

pub use events::*;
pub use ids::*;
pub use router::Router;
pub use settings::*;
pub use time::{Span, Time};
pub use view::{EndpointHealth, EndpointView, GroupView, PrimaryEvidence, RouterView};
