//! Identifiers that the decision module uses. The embedder assigns them; they carry no state.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A client's request. Ids are never reused.
    RequestId,
    u64
);
id!(
    /// An endpoint (a database server). The id stays the same when the endpoint's process restarts.
    EndpointId,
    u32
);
id!(
    /// A replication group: one primary and its replicas.
    GroupId,
    u16
);
id!(
    /// A request class: its index in [`crate::Settings::classes`].
    ClassId,
    usize
);
id!(
    /// A tenant: its index in [`crate::Settings::tenants`].
    TenantId,
    usize
);
id!(
    /// An availability zone.
    ZoneId,
    u8
);
id!(
    /// A machine type.
    KindId,
    u8
);
id!(
    /// A client's session, for read-your-writes consistency.
    SessionKey,
    u64
);
