//! The definitions of all managed objects: OID, SYNTAX and DESCRIPTION. The agent answers requests
//! from these definitions and `mibs/VALEHATCH-MIB.txt` is printed from them, so that both agree.

use valehatch_request_log::{AttemptOutcome, Counter, FailureReason, RejectionReason};

/// The SYNTAX clause of an object (RFC 2578, section 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syntax {
    /// Counter64: falls only at a discontinuity (vhCounterDiscontinuityTime).
    Counter64,
    /// Counter32.
    Counter32,
    /// Gauge32.
    Gauge32,
    /// TimeTicks: hundredths of a second.
    TimeTicks,
    /// SnmpAdminString: text in UTF-8.
    Text,
    /// OCTET STRING.
    OctetString,
    /// OBJECT IDENTIFIER.
    ObjectIdentifier,
    /// INTEGER with named numbers; without any, a plain INTEGER of a standard MIB.
    Enumeration(&'static [(&'static str, i32)]),
}

use Syntax::{
    Counter32, Counter64, Enumeration, Gauge32, ObjectIdentifier, OctetString, Text, TimeTicks,
};

/// An object type: a scalar or a columnar object.
#[derive(Clone, Copy, Debug)]
pub struct Object {
    /// The descriptor; of some columns without the table's name, see [`column_name`].
    pub name: &'static str,
    /// The last subidentifier of its OID.
    pub subid: u32,
    /// The SYNTAX clause.
    pub syntax: Syntax,
    /// The UNITS clause; empty for none.
    pub units: &'static str,
    /// The DESCRIPTION clause; empty for objects of standard MIBs, which are not printed.
    pub description: &'static str,
}

const fn object(
    name: &'static str,
    subid: u32,
    syntax: Syntax,
    units: &'static str,
    description: &'static str,
) -> Object {
    Object {
        name,
        subid,
        syntax,
        units,
        description,
    }
}

/// The type of an object in an INDEX clause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexType {
    /// A text of 1 to 32 characters, encoded with its length first.
    Text,
    /// An unsigned number from 1 on.
    Number,
}

/// What the conceptual rows of a table represent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum TableKind {
    Front,
    Class,
    ClassRefused,
    ClassFailed,
    ClassAttempt,
    ClassTime,
    Tenant,
    TenantRefused,
    TenantFailed,
    TenantAttempt,
    TenantTime,
    Group,
    Member,
    Receiver,
}

/// A conceptual table.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// The descriptor without the suffix `Table`.
    pub name: &'static str,
    /// The last subidentifier of its OID.
    pub subid: u32,
    /// What its rows represent.
    pub kind: TableKind,
    /// The INDEX clause: descriptor, type and DESCRIPTION of each object. Index objects are
    /// not-accessible and take the column numbers from 1 on.
    pub index: &'static [(&'static str, IndexType, &'static str)],
    /// The DESCRIPTION clause.
    pub description: &'static str,
    /// The accessible columnar objects.
    pub columns: &'static [Object],
}

/// Scalars below one parent OID.
#[derive(Clone, Copy, Debug)]
pub struct ScalarGroup {
    /// The descriptor of the parent.
    pub name: &'static str,
    /// The OID of the parent.
    pub parent: Parent,
    /// The scalars, each with one instance `.0`.
    pub objects: &'static [Object],
}

/// The parent OID of scalars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    /// A node of a standard MIB, as a full OID.
    Standard(&'static [u32]),
    /// The node with this subidentifier below vhObjects.
    Enterprise(u32),
}

const FRONT_INDEX: (&str, IndexType, &str) = (
    "vhFrontName",
    IndexType::Text,
    "The front's name in the operators' file.",
);
const CLASS_INDEX: (&str, IndexType, &str) = (
    "vhClassName",
    IndexType::Text,
    "The class's name: its contract's.",
);
const TENANT_INDEX: (&str, IndexType, &str) = (
    "vhTenantName",
    IndexType::Text,
    "The tenant's name: its budget's.",
);
const REJECTION_INDEX: (&str, IndexType, &str) =
    ("vhRefusedReason", IndexType::Number, "Why, a VhRefusal.");
const FAILURE_INDEX: (&str, IndexType, &str) =
    ("vhFailedReason", IndexType::Number, "How, a VhFault.");
const OUTCOME_INDEX: (&str, IndexType, &str) =
    ("vhAttemptOutcome", IndexType::Number, "How, a VhOutcome.");
const BUCKET_INDEX: (&str, IndexType, &str) = (
    "vhTimeBucket",
    IndexType::Number,
    "The bucket, from 1 on, the shortest times first.",
);
const GROUP_INDEX: (&str, IndexType, &str) = (
    "vhGroupNumber",
    IndexType::Number,
    "The group's number and 1, since an index is not 0.",
);
const ENDPOINT_INDEX: (&str, IndexType, &str) = (
    "vhMemberNumber",
    IndexType::Number,
    "The member's number, made from its name.",
);
const RECEIVER_INDEX: (&str, IndexType, &str) = (
    "vhReceiverNumber",
    IndexType::Number,
    "The receiver's place in the operators' file, from 1 on.",
);

const HEALTH: Syntax = Enumeration(&[("open", 1), ("silent", 2), ("outOfReach", 3)]);
const EVIDENCE: Syntax = Enumeration(&[
    ("unknown", 1),
    ("list", 2),
    ("answer", 3),
    ("report", 4),
    ("search", 5),
]);
const TRUTH_VALUE: Syntax = Enumeration(&[("true", 1), ("false", 2)]);

/// The columns that vhClassTable and vhTenantTable have in common.
const OUTCOME_COLUMNS: [Object; 9] = [
    object(
        "Ended",
        3,
        Counter64,
        "requests",
        "Requests that had their end: served, refused, failed or left.",
    ),
    object(
        "InTime",
        4,
        Counter64,
        "requests",
        "Served within the class's aim.",
    ),
    object("Late", 5, Counter64, "requests", "Served after it."),
    object(
        "Refused",
        6,
        Counter64,
        "requests",
        "Refused, for whatever reason.",
    ),
    object("Failed", 7, Counter64, "requests", "Failed, however."),
    object(
        "Aborted",
        8,
        Counter64,
        "requests",
        "Left by their clients before they had an answer.",
    ),
    object(
        "Attempts",
        9,
        Counter64,
        "attempts",
        "Attempts that requests which have ended had.",
    ),
    object(
        "P99",
        10,
        Gauge32,
        "microseconds",
        "The time that 99 of 100 of those served in the last 30 to 60 s stayed within; 0 if none was.",
    ),
    object(
        "Share",
        11,
        Gauge32,
        "per mille",
        "Of all that ended, the part that was served in time.",
    ),
];

const LATENCY_COLUMNS: [Object; 2] = [
    object(
        "Bound",
        2,
        Gauge32,
        "microseconds",
        "The bucket's upper bound; 4294967295 for the last one, which has none.",
    ),
    object(
        "Count",
        3,
        Counter64,
        "requests",
        "Served within this bound and beyond the one before.",
    ),
];

const REASON_COLUMNS: [Object; 2] = [
    object("Name", 2, Text, "", "In words."),
    object("Count", 3, Counter64, "", "So many."),
];

/// All tables of VALEHATCH-MIB.
pub const TABLES: &[Table] = &[
    Table {
        name: "vhFront",
        subid: 2,
        kind: TableKind::Front,
        index: &[FRONT_INDEX],
        description: "The fronts.",
        columns: &[
            object("vhFrontProtocol", 2, Text, "", "What it speaks."),
            object("vhFrontListen", 3, Text, "", "Where its clients connect."),
            object(
                "vhFrontOpen",
                4,
                Gauge32,
                "requests",
                "Requests that are open.",
            ),
            object(
                "vhFrontServerConnections",
                5,
                Gauge32,
                "connections",
                "Connections to members.",
            ),
            object(
                "vhFrontClientConnections",
                6,
                Gauge32,
                "connections",
                "Connections from clients.",
            ),
            object(
                "vhFrontQueue",
                7,
                Gauge32,
                "events",
                "Events that wait for the core.",
            ),
            object(
                "vhFrontTurns",
                8,
                Counter64,
                "turns",
                "Turns that the core has taken since the program's start.",
            ),
            object(
                "vhFrontAge",
                9,
                Gauge32,
                "milliseconds",
                "How old is what the core told of itself: of this table's gauges, of groups and of members.",
            ),
            object(
                "vhFrontStopping",
                10,
                TRUTH_VALUE,
                "",
                "A planned stop was asked for.",
            ),
        ],
    },
    Table {
        name: "vhClass",
        subid: 3,
        kind: TableKind::Class,
        index: &[FRONT_INDEX, CLASS_INDEX],
        description: "What became of the requests of each class. All counters agree with the request log.",
        columns: &OUTCOME_COLUMNS,
    },
    Table {
        name: "vhClassRefused",
        subid: 4,
        kind: TableKind::ClassRefused,
        index: &[FRONT_INDEX, CLASS_INDEX, REJECTION_INDEX],
        description: "Refusals of a class by reason.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhClassFailed",
        subid: 5,
        kind: TableKind::ClassFailed,
        index: &[FRONT_INDEX, CLASS_INDEX, FAILURE_INDEX],
        description: "Failures of a class by kind.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhClassAttempt",
        subid: 6,
        kind: TableKind::ClassAttempt,
        index: &[FRONT_INDEX, CLASS_INDEX, OUTCOME_INDEX],
        description: "Attempts of a class by outcome.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhClassTime",
        subid: 7,
        kind: TableKind::ClassTime,
        index: &[FRONT_INDEX, CLASS_INDEX, BUCKET_INDEX],
        description: "How long the served requests of a class took, each counted in one bucket.",
        columns: &LATENCY_COLUMNS,
    },
    Table {
        name: "vhTenant",
        subid: 8,
        kind: TableKind::Tenant,
        index: &[FRONT_INDEX, TENANT_INDEX],
        description: "What became of the requests of each tenant, over all classes, and its budget.",
        columns: &[
            OUTCOME_COLUMNS[0],
            OUTCOME_COLUMNS[1],
            OUTCOME_COLUMNS[2],
            OUTCOME_COLUMNS[3],
            OUTCOME_COLUMNS[4],
            OUTCOME_COLUMNS[5],
            OUTCOME_COLUMNS[6],
            OUTCOME_COLUMNS[7],
            OUTCOME_COLUMNS[8],
            object(
                "Allowance",
                12,
                Gauge32,
                "requests per 1000 seconds",
                "This gateway's part of what the tenant's budget allows.",
            ),
            object(
                "Rate",
                13,
                Gauge32,
                "requests per second",
                "Asked for in the last whole second.",
            ),
            object(
                "Use",
                14,
                Gauge32,
                "per mille",
                "That rate as a part of the allowance.",
            ),
            object(
                "Queue",
                15,
                Gauge32,
                "requests",
                "Requests that wait at the door; 0 where there is none.",
            ),
            object(
                "QueueAge",
                16,
                Gauge32,
                "milliseconds",
                "How long the oldest of them has waited.",
            ),
            object(
                "Asked",
                17,
                Counter64,
                "requests",
                "Requests that came to the door since the program's start.",
            ),
            object(
                "Admitted",
                18,
                Counter64,
                "requests",
                "Requests that it let in.",
            ),
            object(
                "Got",
                19,
                Counter64,
                "microseconds",
                "The cost of those, as it is learned.",
            ),
            object(
                "Hints",
                20,
                Counter64,
                "hints",
                "Times to come back that were given at the door.",
            ),
            object(
                "HintsKept",
                21,
                Counter64,
                "hints",
                "Clients that came back when they were told to.",
            ),
            object(
                "HintsLate",
                22,
                Counter64,
                "microseconds",
                "By how much those came later than told, in all.",
            ),
        ],
    },
    Table {
        name: "vhTenantRefused",
        subid: 9,
        kind: TableKind::TenantRefused,
        index: &[FRONT_INDEX, TENANT_INDEX, REJECTION_INDEX],
        description: "Refusals of a tenant by reason.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhTenantFailed",
        subid: 10,
        kind: TableKind::TenantFailed,
        index: &[FRONT_INDEX, TENANT_INDEX, FAILURE_INDEX],
        description: "Failures of a tenant by kind.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhTenantAttempt",
        subid: 11,
        kind: TableKind::TenantAttempt,
        index: &[FRONT_INDEX, TENANT_INDEX, OUTCOME_INDEX],
        description: "Attempts of a tenant by outcome.",
        columns: &REASON_COLUMNS,
    },
    Table {
        name: "vhTenantTime",
        subid: 12,
        kind: TableKind::TenantTime,
        index: &[FRONT_INDEX, TENANT_INDEX, BUCKET_INDEX],
        description: "How long the served requests of a tenant took, each counted in one bucket.",
        columns: &LATENCY_COLUMNS,
    },
    Table {
        name: "vhGroup",
        subid: 13,
        kind: TableKind::Group,
        index: &[FRONT_INDEX, GROUP_INDEX],
        description: "What the gateway believes of each group, which need not be what the list says.",
        columns: &[
            object(
                "vhGroupPrimary",
                3,
                Gauge32,
                "",
                "The number of the member that is believed to be the primary; 0 if none is. While vhGroupKnown is unknown it only stands in for one.",
            ),
            object("vhGroupPrimaryName", 4, Text, "", "Its name."),
            object(
                "vhGroupKnown",
                5,
                EVIDENCE,
                "",
                "How it is known: the list says so, it said so in an answer or a report, or a write found it by search.",
            ),
            object(
                "vhGroupSince",
                6,
                Gauge32,
                "seconds",
                "For how long that is believed.",
            ),
            object(
                "vhGroupChanges",
                7,
                Counter64,
                "changes",
                "How often another one was believed in, since the program's start.",
            ),
            object(
                "vhGroupSearching",
                8,
                TRUTH_VALUE,
                "",
                "A search for the primary is on.",
            ),
            object(
                "vhGroupSearchTime",
                9,
                Gauge32,
                "milliseconds",
                "For how long; 0 if none is.",
            ),
            object(
                "vhGroupWritesHeld",
                10,
                Gauge32,
                "requests",
                "Writes that wait in the gateway.",
            ),
            object(
                "vhGroupWaiting",
                11,
                Gauge32,
                "requests",
                "All requests that wait in the gateway.",
            ),
        ],
    },
    Table {
        name: "vhMember",
        subid: 14,
        kind: TableKind::Member,
        index: &[FRONT_INDEX, ENDPOINT_INDEX],
        description: "What the gateway believes of each member.",
        columns: &[
            object("vhMemberName", 3, Text, "", "Its name."),
            object("vhMemberAddress", 4, Text, "", "Where it listens."),
            object(
                "vhMemberGroup",
                5,
                Gauge32,
                "",
                "Its group's number, as in the list: without the 1 of vhGroupNumber.",
            ),
            object(
                "vhMemberRole",
                6,
                Enumeration(&[("unknown", 1), ("primary", 2), ("replica", 3)]),
                "",
                "The role that it is believed to have.",
            ),
            object(
                "vhMemberState",
                7,
                Enumeration(&[("ready", 1), ("draining", 2), ("gone", 3)]),
                "",
                "What the list says of it.",
            ),
            object(
                "vhMemberReach",
                8,
                HEALTH,
                "",
                "Whether it can be used: silent leaves attempts unanswered, outOfReach lets no connection come up.",
            ),
            object(
                "vhMemberInFlight",
                9,
                Gauge32,
                "attempts",
                "Attempts that are out at it.",
            ),
            object(
                "vhMemberLimit",
                10,
                Gauge32,
                "attempts per 1000",
                "How many may be, in thousandths.",
            ),
            object(
                "vhMemberPositionAge",
                11,
                Gauge32,
                "milliseconds",
                "How far its position in the log is behind, at the most; 4294967295 if it is not known.",
            ),
            object(
                "vhMemberWarm",
                12,
                Gauge32,
                "per mille",
                "The part of its capacity that it surely has; 1000 once it is warm.",
            ),
        ],
    },
    Table {
        name: "vhReceiver",
        subid: 19,
        kind: TableKind::Receiver,
        index: &[RECEIVER_INDEX],
        description: "Who is told of notifications.",
        columns: &[
            object("vhReceiverAddress", 2, Text, "", "Where it listens."),
            object(
                "vhReceiverWaiting",
                3,
                Gauge32,
                "notifications",
                "What it has not taken yet.",
            ),
            object(
                "vhReceiverSent",
                4,
                Counter64,
                "datagrams",
                "Sent to it, informs again each time.",
            ),
            object(
                "vhReceiverAcknowledged",
                5,
                Counter64,
                "informs",
                "That it acknowledged.",
            ),
            object(
                "vhReceiverGivenUp",
                6,
                Counter64,
                "informs",
                "That it never did.",
            ),
            object(
                "vhReceiverDropped",
                7,
                Counter64,
                "notifications",
                "That found its queue full.",
            ),
        ],
    },
];

/// All scalars, of VALEHATCH-MIB and of the standard MIBs that the agent implements.
pub const SCALAR_GROUPS: &[ScalarGroup] = &[
    ScalarGroup {
        name: "system",
        parent: Parent::Standard(&[1, 3, 6, 1, 2, 1, 1]),
        objects: &[
            object("sysDescr", 1, Text, "", ""),
            object("sysObjectID", 2, ObjectIdentifier, "", ""),
            object("sysUpTime", 3, TimeTicks, "", ""),
            object("sysContact", 4, Text, "", ""),
            object("sysName", 5, Text, "", ""),
            object("sysLocation", 6, Text, "", ""),
            object("sysServices", 7, Enumeration(&[]), "", ""),
        ],
    },
    ScalarGroup {
        name: "snmp",
        parent: Parent::Standard(&[1, 3, 6, 1, 2, 1, 11]),
        objects: &[
            object("snmpInPkts", 1, Counter32, "", ""),
            object("snmpInBadVersions", 3, Counter32, "", ""),
            object("snmpInBadCommunityNames", 4, Counter32, "", ""),
            object("snmpInBadCommunityUses", 5, Counter32, "", ""),
            object("snmpInASNParseErrs", 6, Counter32, "", ""),
            object("snmpEnableAuthenTraps", 30, Enumeration(&[]), "", ""),
            object("snmpSilentDrops", 31, Counter32, "", ""),
            object("snmpProxyDrops", 32, Counter32, "", ""),
        ],
    },
    ScalarGroup {
        name: "snmpEngine",
        parent: Parent::Standard(&[1, 3, 6, 1, 6, 3, 10, 2, 1]),
        objects: &[
            object("snmpEngineID", 1, OctetString, "", ""),
            object("snmpEngineBoots", 2, Enumeration(&[]), "", ""),
            object("snmpEngineTime", 3, Enumeration(&[]), "", ""),
            object("snmpEngineMaxMessageSize", 4, Enumeration(&[]), "", ""),
        ],
    },
    ScalarGroup {
        name: "snmpMPDStats",
        parent: Parent::Standard(&[1, 3, 6, 1, 6, 3, 11, 2, 1]),
        objects: &[
            object("snmpUnknownSecurityModels", 1, Counter32, "", ""),
            object("snmpInvalidMsgs", 2, Counter32, "", ""),
            object("snmpUnknownPDUHandlers", 3, Counter32, "", ""),
        ],
    },
    ScalarGroup {
        name: "usmStats",
        parent: Parent::Standard(&[1, 3, 6, 1, 6, 3, 15, 1, 1]),
        objects: &[
            object("usmStatsUnsupportedSecLevels", 1, Counter32, "", ""),
            object("usmStatsNotInTimeWindows", 2, Counter32, "", ""),
            object("usmStatsUnknownUserNames", 3, Counter32, "", ""),
            object("usmStatsUnknownEngineIDs", 4, Counter32, "", ""),
            object("usmStatsWrongDigests", 5, Counter32, "", ""),
            object("usmStatsDecryptionErrors", 6, Counter32, "", ""),
        ],
    },
    ScalarGroup {
        name: "vhGateway",
        parent: Parent::Enterprise(1),
        objects: &[
            object(
                "vhGatewayName",
                1,
                Text,
                "",
                "The gateway's name in the operators' file.",
            ),
            object("vhGatewayVersion", 2, Text, "", "The program's version."),
            object(
                "vhGatewayStarted",
                3,
                Counter64,
                "milliseconds",
                "When the program started, in Unix time.",
            ),
            object(
                "vhCounterDiscontinuityTime",
                4,
                Counter64,
                "milliseconds",
                "Since when no counter of the request tables has fallen, in Unix time: with a state folder this stays the same over restarts.",
            ),
        ],
    },
    ScalarGroup {
        name: "vhState",
        parent: Parent::Enterprise(15),
        objects: &[
            object(
                "vhStateDurable",
                1,
                TRUTH_VALUE,
                "",
                "There is a state folder: what the request tables show outlives the process.",
            ),
            object(
                "vhStateTrouble",
                2,
                Text,
                "",
                "What is wrong with the state folder; empty if nothing is.",
            ),
            object(
                "vhStateFaults",
                3,
                Counter64,
                "faults",
                "What was found wrong with it at the start, and went wrong since.",
            ),
            object(
                "vhStateRecords",
                4,
                Counter64,
                "records",
                "The number of the last record of the request log.",
            ),
            object(
                "vhStateWritten",
                5,
                Counter64,
                "records",
                "Records written since the program's start.",
            ),
            object("vhStateBytes", 6, Counter64, "bytes", "Bytes of them."),
            object(
                "vhStateSegment",
                7,
                Gauge32,
                "",
                "The segment of the request log that is written to.",
            ),
            object(
                "vhStateCheckpoints",
                8,
                Counter64,
                "checkpoints",
                "Checkpoints written since the program's start.",
            ),
            object(
                "vhStateDropped",
                9,
                Counter64,
                "records",
                "Records that found the queue full, since the program's start: counted, but not in the request log.",
            ),
            object(
                "vhStateMissed",
                10,
                Counter64,
                "records",
                "Records that are counted and not in the request log, for whatever reason, since the counters began.",
            ),
            object(
                "vhStateWaiting",
                11,
                Gauge32,
                "records",
                "Records that wait to be written.",
            ),
        ],
    },
    ScalarGroup {
        name: "vhLog",
        parent: Parent::Enterprise(16),
        objects: &[object(
            "vhLogLeftOut",
            1,
            Counter64,
            "lines",
            "Lines that the log's limit left out since the program's start.",
        )],
    },
    ScalarGroup {
        name: "vhAgent",
        parent: Parent::Enterprise(17),
        objects: &[
            object(
                "vhAgentAnswered",
                1,
                Counter64,
                "datagrams",
                "Requests that were answered, reports included.",
            ),
            object(
                "vhAgentLimitedBySource",
                2,
                Counter64,
                "datagrams",
                "Requests that went beyond what one source may ask.",
            ),
            object(
                "vhAgentLimitedInAll",
                3,
                Counter64,
                "datagrams",
                "Requests that went beyond what all sources may ask.",
            ),
            object(
                "vhAgentPaused",
                4,
                Counter64,
                "milliseconds",
                "For how long the agent did nothing, having used up its share of the CPU.",
            ),
            object(
                "vhAgentTooMany",
                5,
                Counter64,
                "datagrams",
                "Requests with more names than one may have.",
            ),
            object(
                "vhAgentBadSources",
                6,
                Counter64,
                "datagrams",
                "Requests with the right credentials from an address that may not use them.",
            ),
            object(
                "vhAgentWalks",
                7,
                Gauge32,
                "walks",
                "Walks that a picture is kept for.",
            ),
            object(
                "vhAgentRestarts",
                8,
                Counter64,
                "restarts",
                "How often the agent's thread had to begin anew.",
            ),
            object(
                "vhAgentNotices",
                9,
                Counter64,
                "notifications",
                "Notifications since the program's start.",
            ),
        ],
    },
    ScalarGroup {
        name: "vhProcess",
        parent: Parent::Enterprise(18),
        objects: &[
            object(
                "vhProcessMemory",
                1,
                Gauge32,
                "kilobytes",
                "Resident memory.",
            ),
            object(
                "vhProcessDescriptors",
                2,
                Gauge32,
                "descriptors",
                "Open descriptors.",
            ),
            object("vhProcessThreads", 3, Gauge32, "threads", "Threads."),
            object(
                "vhProcessCpu",
                4,
                Counter64,
                "milliseconds",
                "CPU time used since the program's start.",
            ),
        ],
    },
];

/// Objects with MAX-ACCESS accessible-for-notify, below [`NOTIFICATION_OBJECTS_SUBID`].
pub const NOTIFICATION_OBJECTS: &[Object] = &[
    object("vhNotifyFront", 1, Text, "", "The front."),
    object(
        "vhNotifyGroup",
        2,
        Gauge32,
        "",
        "The group's number, as in the list.",
    ),
    object(
        "vhNotifyPrimary",
        3,
        Text,
        "",
        "The member that is believed to be the primary; empty if none is.",
    ),
    object("vhNotifyBefore", 4, Text, "", "The one before."),
    object("vhNotifyKnown", 5, EVIDENCE, "", "How it is known."),
    object(
        "vhNotifyChanges",
        6,
        Counter64,
        "changes",
        "How often another one was believed in.",
    ),
    object("vhNotifyHeld", 7, Gauge32, "requests", "Writes that wait."),
    object(
        "vhNotifyLasted",
        8,
        Gauge32,
        "milliseconds",
        "For how long it has been so, or was.",
    ),
    object("vhNotifyMember", 9, Text, "", "The member's name."),
    object("vhNotifyReach", 10, HEALTH, "", "Whether it can be used."),
    object("vhNotifyClass", 11, Text, "", "The class."),
    object("vhNotifyTenant", 12, Text, "", "The tenant."),
    object(
        "vhNotifyRate",
        13,
        Gauge32,
        "requests per 1000 seconds",
        "Refusals.",
    ),
    object(
        "vhNotifyUse",
        14,
        Gauge32,
        "per mille",
        "The part of its allowance that the tenant asks for.",
    ),
    object("vhNotifyText", 15, Text, "", "In words."),
    object(
        "vhNotifyLeftOut",
        16,
        Gauge32,
        "notifications",
        "Notifications that were not sent.",
    ),
];

/// Subidentifier of vhObjects below vhMIB.
pub const OBJECTS_SUBID: u32 = 1;
/// Subidentifier of vhNotifications below vhMIB.
pub const NOTIFICATIONS_SUBID: u32 = 0;
/// Subidentifier of vhCarried, the objects of notifications, below vhObjects.
pub const NOTIFICATION_OBJECTS_SUBID: u32 = 20;

/// Notification types: descriptor, subidentifier, subidentifiers of the OBJECTS clause and
/// DESCRIPTION.
pub const NOTIFICATION_TYPES: &[(&str, u32, &[u32], &str)] = &[
    (
        "vhStarted",
        1,
        &[15],
        "The gateway serves. Sent before anything else.",
    ),
    ("vhStopping", 2, &[15], "A planned stop was asked for."),
    (
        "vhPrimaryChanged",
        3,
        &[1, 2, 3, 4, 5, 6, 7],
        "Another member is believed to be a group's primary, or none.",
    ),
    (
        "vhSearchBegun",
        4,
        &[1, 2, 4, 7],
        "Writes of a group wait while its primary is searched for.",
    ),
    (
        "vhSearchLasting",
        5,
        &[1, 2, 4, 7, 8],
        "The search has lasted for longer than set.",
    ),
    (
        "vhSearchEnded",
        6,
        &[1, 2, 3, 5, 7, 8],
        "The search is over.",
    ),
    (
        "vhNoPrimary",
        7,
        &[1, 2, 4, 7, 8],
        "A group has been without a primary for longer than set.",
    ),
    ("vhPrimaryBack", 8, &[1, 2, 3, 5, 8], "It has one again."),
    (
        "vhMemberOutOfReach",
        9,
        &[1, 2, 9, 10],
        "A member cannot be used.",
    ),
    (
        "vhMemberBack",
        10,
        &[1, 2, 9, 10],
        "It can again, or has left the list.",
    ),
    (
        "vhRefusalsRising",
        11,
        &[1, 11, 13],
        "A class is refused more often than set.",
    ),
    ("vhRefusalsFallen", 12, &[1, 11, 13], "It no longer is."),
    (
        "vhBudgetOverrun",
        13,
        &[1, 12, 14],
        "A tenant asks for more than its budget allows.",
    ),
    ("vhBudgetBack", 14, &[1, 12, 14], "It no longer does."),
    (
        "vhStateTroubled",
        15,
        &[15],
        "The state folder cannot be written: counters go on and are shown once it can.",
    ),
    ("vhStateWell", 16, &[15], "It can again."),
    (
        "vhStorm",
        17,
        &[15, 16],
        "More notifications than are sent in one window: so many of each kind were not.",
    ),
    (
        "vhQueueLong",
        18,
        &[1, 8, 12],
        "The oldest request of a tenant at the door has waited for longer than set.",
    ),
    ("vhQueueShort", 19, &[1, 8, 12], "It no longer has."),
];

/// Returns the descriptor of a column; columns that several tables share get the table's name as a
/// prefix.
#[must_use]
pub fn column_name(table: &Table, column: &Object) -> String {
    if column.name.starts_with("vh") {
        column.name.into()
    } else {
        format!("{}{}", table.name, column.name)
    }
}

/// Converts a name in kebab case to a label of a named number (SMIv2 allows no hyphens in labels).
fn label(text: &str) -> String {
    let mut out = String::new();
    let mut capitalize = false;
    for c in text.chars() {
        if c == '-' {
            capitalize = true;
        } else {
            out.push(if std::mem::take(&mut capitalize) {
                c.to_ascii_uppercase()
            } else {
                c
            });
        }
    }
    out
}

/// All rejection reasons: index value from 1 on, name, counter.
pub fn rejection_reasons() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(RejectionReason::ALL)
        .map(|(n, r)| (n, r.name(), Counter::Rejected(*r)))
}

/// All failure reasons: index value from 1 on, name, counter.
pub fn failure_reasons() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(FailureReason::ALL)
        .map(|(n, f)| (n, f.name(), Counter::Failed(*f)))
}

/// All outcomes of attempts: index value from 1 on, name, counter.
pub fn attempt_outcomes() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(AttemptOutcome::ALL)
        .map(|(n, o)| (n, o.name(), Counter::Attempt(*o)))
}

/// Prints the MIB module, of which `mibs/VALEHATCH-MIB.txt` is a copy.
#[must_use]
pub fn mib() -> String {
    let mut out = String::from(MIB_HEADER);
    let named_numbers = |list: &[(u32, &'static str, Counter)]| {
        let all: Vec<String> = list
            .iter()
            .map(|(n, name, _)| format!("{}({n})", label(name)))
            .collect();
        all.join(", ")
    };
    for (name, description, list) in [
        (
            "VhRefusal",
            "Why a request was refused.",
            rejection_reasons().collect::<Vec<_>>(),
        ),
        (
            "VhFault",
            "How a request failed.",
            failure_reasons().collect(),
        ),
        (
            "VhOutcome",
            "How an attempt ended.",
            attempt_outcomes().collect(),
        ),
    ] {
        out.push_str(&format!(
            "\n{name} ::= TEXTUAL-CONVENTION\n    STATUS current\n    DESCRIPTION \"{description}\"\n    SYNTAX INTEGER {{ {} }}\n",
            named_numbers(&list)
        ));
    }
    out.push_str("\nvhNotifications OBJECT IDENTIFIER ::= { vhMIB 0 }\nvhObjects OBJECT IDENTIFIER ::= { vhMIB 1 }\nvhConformance OBJECT IDENTIFIER ::= { vhMIB 2 }\n");
    let mut object_names = vec![];
    for group in SCALAR_GROUPS {
        let Parent::Enterprise(subid) = group.parent else {
            continue;
        };
        out.push_str(&format!(
            "\n{} OBJECT IDENTIFIER ::= {{ vhObjects {subid} }}\n",
            group.name
        ));
        for object in group.objects {
            write_object_type(
                &mut out,
                object.name,
                object,
                "read-only",
                group.name,
                object.subid,
            );
            object_names.push(object.name.to_owned());
        }
    }
    for table in TABLES {
        write_table(&mut out, table, &mut object_names);
    }
    out.push_str(&format!(
        "\nvhCarried OBJECT IDENTIFIER ::= {{ vhObjects {NOTIFICATION_OBJECTS_SUBID} }}\n"
    ));
    for object in NOTIFICATION_OBJECTS {
        write_object_type(
            &mut out,
            object.name,
            object,
            "accessible-for-notify",
            "vhCarried",
            object.subid,
        );
        object_names.push(object.name.to_owned());
    }
    for (name, subid, object_subids, description) in NOTIFICATION_TYPES {
        let names: Vec<&str> = object_subids
            .iter()
            .filter_map(|subid| {
                NOTIFICATION_OBJECTS
                    .iter()
                    .find(|o| o.subid == *subid)
                    .map(|o| o.name)
            })
            .collect();
        out.push_str(&format!(
            "\n{name} NOTIFICATION-TYPE\n    OBJECTS {{ {} }}\n    STATUS current\n    DESCRIPTION \"{description}\"\n    ::= {{ vhNotifications {subid} }}\n",
            names.join(", ")
        ));
    }
    let notification_names: Vec<&str> = NOTIFICATION_TYPES.iter().map(|(name, ..)| *name).collect();
    out.push_str(&format!(
        "\nvhGroups OBJECT IDENTIFIER ::= {{ vhConformance 1 }}\nvhCompliances OBJECT IDENTIFIER ::= {{ vhConformance 2 }}\n\nvhObjectGroup OBJECT-GROUP\n    OBJECTS {{ {} }}\n    STATUS current\n    DESCRIPTION \"All objects.\"\n    ::= {{ vhGroups 1 }}\n\nvhNotificationGroup NOTIFICATION-GROUP\n    NOTIFICATIONS {{ {} }}\n    STATUS current\n    DESCRIPTION \"All notifications.\"\n    ::= {{ vhGroups 2 }}\n\nvhCompliance MODULE-COMPLIANCE\n    STATUS current\n    DESCRIPTION \"What a gateway has.\"\n    MODULE\n        MANDATORY-GROUPS {{ vhObjectGroup, vhNotificationGroup }}\n    ::= {{ vhCompliances 1 }}\n\nEND\n",
        wrap_names(&object_names),
        wrap_names(&notification_names)
    ));
    out
}

fn wrap_names(names: &[impl AsRef<str>]) -> String {
    let all: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    all.chunks(4)
        .map(|c| c.join(", "))
        .collect::<Vec<_>>()
        .join(",\n        ")
}

fn syntax_clause(syntax: Syntax) -> String {
    match syntax {
        Counter64 => "Counter64".into(),
        Counter32 => "Counter32".into(),
        Gauge32 => "Gauge32".into(),
        TimeTicks => "TimeTicks".into(),
        Text => "SnmpAdminString".into(),
        OctetString => "OCTET STRING".into(),
        ObjectIdentifier => "OBJECT IDENTIFIER".into(),
        Enumeration(named_numbers) => {
            let all: Vec<String> = named_numbers
                .iter()
                .map(|(name, n)| format!("{name}({n})"))
                .collect();
            format!("INTEGER {{ {} }}", all.join(", "))
        }
    }
}

fn write_object_type(
    out: &mut String,
    name: &str,
    object: &Object,
    access: &str,
    parent: &str,
    subid: u32,
) {
    let units = if object.units.is_empty() {
        String::new()
    } else {
        format!("    UNITS \"{}\"\n", object.units)
    };
    out.push_str(&format!(
        "\n{name} OBJECT-TYPE\n    SYNTAX {}\n{units}    MAX-ACCESS {access}\n    STATUS current\n    DESCRIPTION \"{}\"\n    ::= {{ {parent} {subid} }}\n",
        syntax_clause(object.syntax),
        object.description
    ));
}

/// Returns the table that defines an index object: the first that has it. Later tables refer to it.
fn defining_table(name: &str) -> Option<&'static Table> {
    TABLES
        .iter()
        .find(|t| t.index.iter().any(|(n, ..)| *n == name))
}

fn write_table(out: &mut String, table: &Table, object_names: &mut Vec<String>) {
    let name = table.name;
    let entry_type = format!("{}{}Entry", &name[..1].to_ascii_uppercase(), &name[1..]);
    let index_names: Vec<&str> = table.index.iter().map(|(n, ..)| *n).collect();
    out.push_str(&format!(
        "\n{name}Table OBJECT-TYPE\n    SYNTAX SEQUENCE OF {entry_type}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"{}\"\n    ::= {{ vhObjects {} }}\n",
        table.description, table.subid
    ));
    out.push_str(&format!(
        "\n{name}Entry OBJECT-TYPE\n    SYNTAX {entry_type}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"A row.\"\n    INDEX {{ {} }}\n    ::= {{ {name}Table 1 }}\n",
        index_names.join(", ")
    ));
    let own_index: Vec<_> = table
        .index
        .iter()
        .filter(|(n, ..)| defining_table(n).is_some_and(|t| t.name == name))
        .collect();
    let index_syntax = |(n, index_type): (&str, IndexType)| match (index_type, n) {
        (IndexType::Text, _) => ("SnmpAdminString", "SnmpAdminString (SIZE (1..32))"),
        (_, "vhRefusedReason") => ("VhRefusal", "VhRefusal"),
        (_, "vhFailedReason") => ("VhFault", "VhFault"),
        (_, "vhAttemptOutcome") => ("VhOutcome", "VhOutcome"),
        _ => ("Unsigned32", "Unsigned32 (1..4294967295)"),
    };
    let mut fields: Vec<String> = own_index
        .iter()
        .map(|(n, index_type, _)| format!("{n} {}", index_syntax((n, *index_type)).0))
        .collect();
    let sequence_type = |s: Syntax| {
        if let Enumeration(_) = s {
            "INTEGER".into()
        } else {
            syntax_clause(s)
        }
    };
    fields.extend(
        table
            .columns
            .iter()
            .map(|c| format!("{} {}", column_name(table, c), sequence_type(c.syntax))),
    );
    out.push_str(&format!(
        "\n{entry_type} ::= SEQUENCE {{\n    {}\n}}\n",
        fields.join(",\n    ")
    ));
    // Index objects take the first column numbers, before the accessible columns.
    for (subid, (n, index_type, description)) in (1..).zip(own_index.iter().map(|i| **i)) {
        let syntax = index_syntax((n, index_type)).1;
        out.push_str(&format!(
            "\n{n} OBJECT-TYPE\n    SYNTAX {syntax}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"{description}\"\n    ::= {{ {name}Entry {subid} }}\n"
        ));
    }
    for column in table.columns {
        let descriptor = column_name(table, column);
        write_object_type(
            out,
            &descriptor,
            column,
            "read-only",
            &format!("{name}Entry"),
            column.subid,
        );
        object_names.push(descriptor);
    }
}

const MIB_HEADER: &str = "VALEHATCH-MIB DEFINITIONS ::= BEGIN

-- Printed by `valehatch snmp mib` from the table that the agent answers from; do not edit.

IMPORTS
    MODULE-IDENTITY, OBJECT-TYPE, NOTIFICATION-TYPE, Counter64, Gauge32, Unsigned32
        FROM SNMPv2-SMI
    TEXTUAL-CONVENTION
        FROM SNMPv2-TC
    OBJECT-GROUP, NOTIFICATION-GROUP, MODULE-COMPLIANCE
        FROM SNMPv2-CONF
    SnmpAdminString
        FROM SNMP-FRAMEWORK-MIB
    netSnmpPlaypen
        FROM NET-SNMP-MIB;

vhMIB MODULE-IDENTITY
    LAST-UPDATED \"202612010000Z\"
    ORGANIZATION \"valehatch\"
    CONTACT-INFO \"The operators of the gateway.\"
    DESCRIPTION \"What a valehatch gateway serves, refuses and believes. It stands in a part of the tree that is free
        for all to use until the operators assign a number of their own.\"
    REVISION \"202612010000Z\"
    DESCRIPTION \"For each front: classes, tenants, groups and members by name; state, agent and process;
        notifications.\"
    ::= { netSnmpPlaypen 5739 }
";
