//! Settings, configuration and requests shared by the tests of the reducer.
#![allow(dead_code)]

use std::sync::Arc;

use valehatch_core::permission::Decisions;
use valehatch_core::{CoreConfig, IncomingRequest, ListedEndpoint, Payload, UpstreamTransport};
use valehatch_memory_budget::{MemoryBudget, MemoryUse};
use valehatch_policy::{
    Consistency, DedupScope, DiscoveryMode, EndpointId, EndpointRecord, EndpointState, GroupId,
    Idempotency, KindId, Limits, ListedRole, RequestClass, Rules, SessionTracking, Settings, Span,
    StaleReadPolicy, Time, ZoneId,
};

/// Index of the non-idempotent class; class 0 uses an idempotency key.
pub(crate) const NON_IDEMPOTENT: usize = 1;

pub(crate) fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

fn settings(longest_deadline: Span) -> Settings {
    let class = |idempotency| RequestClass {
        consistency: Consistency::Write,
        idempotency,
        latency_objective: ms(600),
        latency_objective_stretch: 0.0,
        deadline: longest_deadline,
        priority_weight: 1.0,
        late_priority_weight: 0.3,
    };
    Settings {
        classes: vec![
            class(Idempotency::IdempotencyKey {
                scope: DedupScope::Group,
                window: ms(2_000),
            }),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![],
        over_quota_priority_weight: None,
        discovery_mode: DiscoveryMode::Watch,
        listed_role: ListedRole::Trailing,
        stale_read_policy: StaleReadPolicy::Serve,
        sessions: SessionTracking::ClientProvided,
        routers: 1,
        zone: ZoneId(0),
        tick: ms(5),
        limits: Limits {
            cancel: true,
            health_checks: false,
            hedged_requests: false,
            retry_after: true,
            max_attempts: 6,
            max_retry_after: ms(500),
            max_open_requests: 1_000,
            idle_connection_timeout: ms(15_000),
        },
        rules: Rules {
            max_poll_interval: ms(8_000),
            slow_start_initial_capacity: 0.2,
            slow_start_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_duration: ms(1_500),
            removal_is_advisory: false,
        },
    }
}

/// An entry of the endpoint list.
pub(crate) fn listed_endpoint(id: u32, state: EndpointState, primary: bool) -> ListedEndpoint {
    let record = EndpointRecord {
        endpoint: EndpointId(id),
        group: GroupId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: 1.0,
        started: None,
        primary,
        state,
    };
    ListedEndpoint {
        record,
        name: format!("s-{id}").into(),
        address: format!("127.0.0.1:{}", 9000 + id).into(),
    }
}

/// A configuration without admission queue, observability and metrics.
pub(crate) fn config(longest_deadline: Span) -> CoreConfig {
    CoreConfig {
        admission: None,
        observability: None,
        metrics: None,
        settings: settings(longest_deadline),
        transport: UpstreamTransport::Exclusive,
        decisions: Arc::new(Decisions::default()),
        trace_requests: false,
        upstream_connection_limit: 8,
        health_check_timeout: ms(250),
        response_limits: None,
    }
}

/// A request of `class` whose last byte was read at `received`.
pub(crate) fn incoming_request(
    memory: &Arc<MemoryBudget>,
    class: usize,
    received: Time,
) -> IncomingRequest {
    IncomingRequest {
        name: Some("one".into()),
        class,
        tenant: None,
        group: GroupId(0),
        session: None,
        received,
        client_timeout: ms(2_000),
        is_client_retry: false,
        last_write_at: None,
        payload: Arc::new(Payload {
            bytes: vec![0; 10],
            write: true,
            class,
        }),
        memory: memory.reserve(MemoryUse::Requests, 10),
        response_memory: None,
        client: 1,
    }
}
