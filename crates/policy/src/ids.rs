//! Identifiers.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client's request; never used twice. */ RequestId, u64);
id!(/** A member of a group; stays the same over restarts of its process. */ EndpointId, u32);
id!(/** A group: one primary and its replicas. */ GroupId, u16);
id!(/** Place of a class in [`crate::Settings::classes`]. */ ClassId, usize);
id!(/** Place of a tenant in [`crate::Settings::tenants`]. */ TenantId, usize);
id!(/** A zone (hall, data centre). */ ZoneId, u8);
id!(/** A kind of machine. */ KindId, u8);
id!(/** A client's session. */ SessionKey, u64);
