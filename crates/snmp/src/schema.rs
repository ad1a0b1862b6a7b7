//! Every object that the agent has, once: its place, its syntax, and what the MIB says of it. The agent answers from this
//! table and `mibs/VALEHATCH-MIB.txt` is printed from it, so neither can drift from the other.

use valehatch_request_log::{AttemptOutcome, Counter, FailureReason, RejectionReason};

/// What an object's value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syntax {
    /// Never falls but at a discontinuity, 64 bits.
    Counter64,
    /// The same, 32 bits.
    Counter32,
    /// Goes up and down, not below 0.
    Gauge,
    /// Hundredths of a second.
    Ticks,
    /// Printable text.
    Text,
    /// Bytes.
    Bytes,
    /// A name in the tree.
    Name,
    /// One of some words.
    Words(&'static [(&'static str, i32)]),
}

use Syntax::{Bytes, Counter32, Counter64, Gauge, Name, Text, Ticks, Words};

/// An object: a scalar or a column.
#[derive(Clone, Copy, Debug)]
pub struct Object {
    /// Its descriptor.
    pub name: &'static str,
    /// Its last number.
    pub arc: u32,
    /// What it is.
    pub syntax: Syntax,
    /// In which unit, empty for none.
    pub units: &'static str,
    /// What it says.
    pub about: &'static str,
}

const fn object(
    name: &'static str,
    arc: u32,
    syntax: Syntax,
    units: &'static str,
    about: &'static str,
) -> Object {
    Object {
        name,
        arc,
        syntax,
        units,
        about,
    }
}

/// A part of an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A text, its length before it: 1 to 32 characters.
    Text,
    /// A number.
    Number,
}

/// What a table has a row for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Rows {
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

/// A table.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Its descriptor, without `Table`.
    pub name: &'static str,
    /// Its last number.
    pub arc: u32,
    /// What it has a row for.
    pub rows: Rows,
    /// Its index objects: descriptor, kind, and what it is. Columns from 1 on, not accessible.
    pub index: &'static [(&'static str, Part, &'static str)],
    /// What it is.
    pub about: &'static str,
    /// Its columns.
    pub columns: &'static [Object],
}

/// Scalars under one number.
#[derive(Clone, Copy, Debug)]
pub struct Scalars {
    /// The descriptor of what they stand under.
    pub name: &'static str,
    /// Its name in the tree: whole for other MIBs' groups, else below the project's objects.
    pub at: At,
    /// The objects.
    pub objects: &'static [Object],
}

/// Where scalars stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// In another MIB, here.
    Other(&'static [u32]),
    /// Below the project's objects.
    Own(u32),
}

const FRONT: (&str, Part, &str) = (
    "vhFrontName",
    Part::Text,
    "The front's name in the operators' file.",
);
const CLASS: (&str, Part, &str) = (
    "vhClassName",
    Part::Text,
    "The class's name: its contract's.",
);
const TENANT: (&str, Part, &str) = (
    "vhTenantName",
    Part::Text,
    "The tenant's name: its budget's.",
);
const REASON: (&str, Part, &str) = ("vhRefusedReason", Part::Number, "Why, a VhRefusal.");
const FAULT: (&str, Part, &str) = ("vhFailedReason", Part::Number, "How, a VhFault.");
const OUTCOME: (&str, Part, &str) = ("vhAttemptOutcome", Part::Number, "How, a VhOutcome.");
const BUCKET: (&str, Part, &str) = (
    "vhTimeBucket",
    Part::Number,
    "The bucket, from 1 on, the shortest times first.",
);
const GROUP: (&str, Part, &str) = (
    "vhGroupNumber",
    Part::Number,
    "The group's number and 1, since an index is not 0.",
);
const MEMBER: (&str, Part, &str) = (
    "vhMemberNumber",
    Part::Number,
    "The member's number, made from its name.",
);
const RECEIVER: (&str, Part, &str) = (
    "vhReceiverNumber",
    Part::Number,
    "The receiver's place in the operators' file, from 1 on.",
);

const REACH: Syntax = Words(&[("open", 1), ("silent", 2), ("outOfReach", 3)]);
const KNOWN: Syntax = Words(&[
    ("unknown", 1),
    ("list", 2),
    ("answer", 3),
    ("report", 4),
    ("search", 5),
]);
const TRUTH: Syntax = Words(&[("true", 1), ("false", 2)]);

/// The columns that classes and tenants have in common.
const ENDS: [Object; 9] = [
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
        Gauge,
        "microseconds",
        "The time that 99 of 100 of those served in the last 30 to 60 s stayed within; 0 if none was.",
    ),
    object(
        "Share",
        11,
        Gauge,
        "per mille",
        "Of all that ended, the part that was served in time.",
    ),
];

const TIMES: [Object; 2] = [
    object(
        "Bound",
        2,
        Gauge,
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

const COUNTED: [Object; 2] = [
    object("Name", 2, Text, "", "In words."),
    object("Count", 3, Counter64, "", "So many."),
];

/// Text that stands before the names of a table's columns.
pub const TABLES: &[Table] = &[
    Table {
        name: "vhFront",
        arc: 2,
        rows: Rows::Front,
        index: &[FRONT],
        about: "The fronts.",
        columns: &[
            object("vhFrontProtocol", 2, Text, "", "What it speaks."),
            object("vhFrontListen", 3, Text, "", "Where its clients connect."),
            object(
                "vhFrontOpen",
                4,
                Gauge,
                "requests",
                "Requests that are open.",
            ),
            object(
                "vhFrontServerConnections",
                5,
                Gauge,
                "connections",
                "Connections to members.",
            ),
            object(
                "vhFrontClientConnections",
                6,
                Gauge,
                "connections",
                "Connections from clients.",
            ),
            object(
                "vhFrontQueue",
                7,
                Gauge,
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
                Gauge,
                "milliseconds",
                "How old is what the core told of itself: of this table's gauges, of groups and of members.",
            ),
            object(
                "vhFrontStopping",
                10,
                TRUTH,
                "",
                "A planned stop was asked for.",
            ),
        ],
    },
    Table {
        name: "vhClass",
        arc: 3,
        rows: Rows::Class,
        index: &[FRONT, CLASS],
        about: "What became of the requests of each class. All counters agree with the request log.",
        columns: &ENDS,
    },
    Table {
        name: "vhClassRefused",
        arc: 4,
        rows: Rows::ClassRefused,
        index: &[FRONT, CLASS, REASON],
        about: "Refusals of a class by reason.",
        columns: &COUNTED,
    },
    Table {
        name: "vhClassFailed",
        arc: 5,
        rows: Rows::ClassFailed,
        index: &[FRONT, CLASS, FAULT],
        about: "Failures of a class by kind.",
        columns: &COUNTED,
    },
    Table {
        name: "vhClassAttempt",
        arc: 6,
        rows: Rows::ClassAttempt,
        index: &[FRONT, CLASS, OUTCOME],
        about: "Attempts of a class by outcome.",
        columns: &COUNTED,
    },
    Table {
        name: "vhClassTime",
        arc: 7,
        rows: Rows::ClassTime,
        index: &[FRONT, CLASS, BUCKET],
        about: "How long the served requests of a class took, each counted in one bucket.",
        columns: &TIMES,
    },
    Table {
        name: "vhTenant",
        arc: 8,
        rows: Rows::Tenant,
        index: &[FRONT, TENANT],
        about: "What became of the requests of each tenant, over all classes, and its budget.",
        columns: &[
            ENDS[0],
            ENDS[1],
            ENDS[2],
            ENDS[3],
            ENDS[4],
            ENDS[5],
            ENDS[6],
            ENDS[7],
            ENDS[8],
            object(
                "Allowance",
                12,
                Gauge,
                "requests per 1000 seconds",
                "This gateway's part of what the tenant's budget allows.",
            ),
            object(
                "Rate",
                13,
                Gauge,
                "requests per second",
                "Asked for in the last whole second.",
            ),
            object(
                "Use",
                14,
                Gauge,
                "per mille",
                "That rate as a part of the allowance.",
            ),
            object(
                "Queue",
                15,
                Gauge,
                "requests",
                "Requests that wait at the door; 0 where there is none.",
            ),
            object(
                "QueueAge",
                16,
                Gauge,
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
        arc: 9,
        rows: Rows::TenantRefused,
        index: &[FRONT, TENANT, REASON],
        about: "Refusals of a tenant by reason.",
        columns: &COUNTED,
    },
    Table {
        name: "vhTenantFailed",
        arc: 10,
        rows: Rows::TenantFailed,
        index: &[FRONT, TENANT, FAULT],
        about: "Failures of a tenant by kind.",
        columns: &COUNTED,
    },
    Table {
        name: "vhTenantAttempt",
        arc: 11,
        rows: Rows::TenantAttempt,
        index: &[FRONT, TENANT, OUTCOME],
        about: "Attempts of a tenant by outcome.",
        columns: &COUNTED,
    },
    Table {
        name: "vhTenantTime",
        arc: 12,
        rows: Rows::TenantTime,
        index: &[FRONT, TENANT, BUCKET],
        about: "How long the served requests of a tenant took, each counted in one bucket.",
        columns: &TIMES,
    },
    Table {
        name: "vhGroup",
        arc: 13,
        rows: Rows::Group,
        index: &[FRONT, GROUP],
        about: "What the gateway believes of each group, which need not be what the list says.",
        columns: &[
            object(
                "vhGroupPrimary",
                3,
                Gauge,
                "",
                "The number of the member that is believed to be the primary; 0 if none is. While vhGroupKnown is unknown it only stands in for one.",
            ),
            object("vhGroupPrimaryName", 4, Text, "", "Its name."),
            object(
                "vhGroupKnown",
                5,
                KNOWN,
                "",
                "How it is known: the list says so, it said so in an answer or a report, or a write found it by search.",
            ),
            object(
                "vhGroupSince",
                6,
                Gauge,
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
                TRUTH,
                "",
                "A search for the primary is on.",
            ),
            object(
                "vhGroupSearchTime",
                9,
                Gauge,
                "milliseconds",
                "For how long; 0 if none is.",
            ),
            object(
                "vhGroupWritesHeld",
                10,
                Gauge,
                "requests",
                "Writes that wait in the gateway.",
            ),
            object(
                "vhGroupWaiting",
                11,
                Gauge,
                "requests",
                "All requests that wait in the gateway.",
            ),
        ],
    },
    Table {
        name: "vhMember",
        arc: 14,
        rows: Rows::Member,
        index: &[FRONT, MEMBER],
        about: "What the gateway believes of each member.",
        columns: &[
            object("vhMemberName", 3, Text, "", "Its name."),
            object("vhMemberAddress", 4, Text, "", "Where it listens."),
            object(
                "vhMemberGroup",
                5,
                Gauge,
                "",
                "Its group's number, as in the list: without the 1 of vhGroupNumber.",
            ),
            object(
                "vhMemberRole",
                6,
                Words(&[("unknown", 1), ("primary", 2), ("replica", 3)]),
                "",
                "The role that it is believed to have.",
            ),
            object(
                "vhMemberState",
                7,
                Words(&[("ready", 1), ("draining", 2), ("gone", 3)]),
                "",
                "What the list says of it.",
            ),
            object(
                "vhMemberReach",
                8,
                REACH,
                "",
                "Whether it can be used: silent leaves attempts unanswered, outOfReach lets no connection come up.",
            ),
            object(
                "vhMemberInFlight",
                9,
                Gauge,
                "attempts",
                "Attempts that are out at it.",
            ),
            object(
                "vhMemberLimit",
                10,
                Gauge,
                "attempts per 1000",
                "How many may be, in thousandths.",
            ),
            object(
                "vhMemberPositionAge",
                11,
                Gauge,
                "milliseconds",
                "How far its position in the log is behind, at the most; 4294967295 if it is not known.",
            ),
            object(
                "vhMemberWarm",
                12,
                Gauge,
                "per mille",
                "The part of its capacity that it surely has; 1000 once it is warm.",
            ),
        ],
    },
    Table {
        name: "vhReceiver",
        arc: 19,
        rows: Rows::Receiver,
        index: &[RECEIVER],
        about: "Who is told of notifications.",
        columns: &[
            object("vhReceiverAddress", 2, Text, "", "Where it listens."),
            object(
                "vhReceiverWaiting",
                3,
                Gauge,
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

/// Scalars, the agent's own and those of the standard's MIBs.
pub const SCALARS: &[Scalars] = &[
    Scalars {
        name: "system",
        at: At::Other(&[1, 3, 6, 1, 2, 1, 1]),
        objects: &[
            object("sysDescr", 1, Text, "", ""),
            object("sysObjectID", 2, Name, "", ""),
            object("sysUpTime", 3, Ticks, "", ""),
            object("sysContact", 4, Text, "", ""),
            object("sysName", 5, Text, "", ""),
            object("sysLocation", 6, Text, "", ""),
            object("sysServices", 7, Words(&[]), "", ""),
        ],
    },
    Scalars {
        name: "snmp",
        at: At::Other(&[1, 3, 6, 1, 2, 1, 11]),
        objects: &[
            object("snmpInPkts", 1, Counter32, "", ""),
            object("snmpInBadVersions", 3, Counter32, "", ""),
            object("snmpInBadCommunityNames", 4, Counter32, "", ""),
            object("snmpInBadCommunityUses", 5, Counter32, "", ""),
            object("snmpInASNParseErrs", 6, Counter32, "", ""),
            object("snmpEnableAuthenTraps", 30, Words(&[]), "", ""),
            object("snmpSilentDrops", 31, Counter32, "", ""),
            object("snmpProxyDrops", 32, Counter32, "", ""),
        ],
    },
    Scalars {
        name: "snmpEngine",
        at: At::Other(&[1, 3, 6, 1, 6, 3, 10, 2, 1]),
        objects: &[
            object("snmpEngineID", 1, Bytes, "", ""),
            object("snmpEngineBoots", 2, Words(&[]), "", ""),
            object("snmpEngineTime", 3, Words(&[]), "", ""),
            object("snmpEngineMaxMessageSize", 4, Words(&[]), "", ""),
        ],
    },
    Scalars {
        name: "snmpMPDStats",
        at: At::Other(&[1, 3, 6, 1, 6, 3, 11, 2, 1]),
        objects: &[
            object("snmpUnknownSecurityModels", 1, Counter32, "", ""),
            object("snmpInvalidMsgs", 2, Counter32, "", ""),
            object("snmpUnknownPDUHandlers", 3, Counter32, "", ""),
        ],
    },
    Scalars {
        name: "usmStats",
        at: At::Other(&[1, 3, 6, 1, 6, 3, 15, 1, 1]),
        objects: &[
            object("usmStatsUnsupportedSecLevels", 1, Counter32, "", ""),
            object("usmStatsNotInTimeWindows", 2, Counter32, "", ""),
            object("usmStatsUnknownUserNames", 3, Counter32, "", ""),
            object("usmStatsUnknownEngineIDs", 4, Counter32, "", ""),
            object("usmStatsWrongDigests", 5, Counter32, "", ""),
            object("usmStatsDecryptionErrors", 6, Counter32, "", ""),
        ],
    },
    Scalars {
        name: "vhGateway",
        at: At::Own(1),
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
    Scalars {
        name: "vhState",
        at: At::Own(15),
        objects: &[
            object(
                "vhStateDurable",
                1,
                TRUTH,
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
                Gauge,
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
                Gauge,
                "records",
                "Records that wait to be written.",
            ),
        ],
    },
    Scalars {
        name: "vhLog",
        at: At::Own(16),
        objects: &[object(
            "vhLogLeftOut",
            1,
            Counter64,
            "lines",
            "Lines that the log's limit left out since the program's start.",
        )],
    },
    Scalars {
        name: "vhAgent",
        at: At::Own(17),
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
                Gauge,
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
    Scalars {
        name: "vhProcess",
        at: At::Own(18),
        objects: &[
            object("vhProcessMemory", 1, Gauge, "kilobytes", "Resident memory."),
            object(
                "vhProcessDescriptors",
                2,
                Gauge,
                "descriptors",
                "Open descriptors.",
            ),
            object("vhProcessThreads", 3, Gauge, "threads", "Threads."),
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

/// Objects that only notifications carry, below number 20.
pub const CARRIED: &[Object] = &[
    object("vhNotifyFront", 1, Text, "", "The front."),
    object(
        "vhNotifyGroup",
        2,
        Gauge,
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
    object("vhNotifyKnown", 5, KNOWN, "", "How it is known."),
    object(
        "vhNotifyChanges",
        6,
        Counter64,
        "changes",
        "How often another one was believed in.",
    ),
    object("vhNotifyHeld", 7, Gauge, "requests", "Writes that wait."),
    object(
        "vhNotifyLasted",
        8,
        Gauge,
        "milliseconds",
        "For how long it has been so, or was.",
    ),
    object("vhNotifyMember", 9, Text, "", "The member's name."),
    object("vhNotifyReach", 10, REACH, "", "Whether it can be used."),
    object("vhNotifyClass", 11, Text, "", "The class."),
    object("vhNotifyTenant", 12, Text, "", "The tenant."),
    object(
        "vhNotifyRate",
        13,
        Gauge,
        "requests per 1000 seconds",
        "Refusals.",
    ),
    object(
        "vhNotifyUse",
        14,
        Gauge,
        "per mille",
        "The part of its allowance that the tenant asks for.",
    ),
    object("vhNotifyText", 15, Text, "", "In words."),
    object(
        "vhNotifyLeftOut",
        16,
        Gauge,
        "notifications",
        "Notifications that were not sent.",
    ),
];

/// The number below the project's node under which the objects stand, and the notifications.
pub const OBJECTS: u32 = 1;
/// Notifications.
pub const NOTIFICATIONS: u32 = 0;
/// What only notifications carry.
pub const CARRIED_AT: u32 = 20;

/// A notification: its descriptor, its number, what it carries and what it says.
pub const NOTICES: &[(&str, u32, &[u32], &str)] = &[
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

/// The name of a column, which stands behind its table's where it does not carry it itself.
#[must_use]
pub fn column_name(table: &Table, column: &Object) -> String {
    if column.name.starts_with("vh") {
        column.name.into()
    } else {
        format!("{}{}", table.name, column.name)
    }
}

/// The words of a reason, in the form of SMIv2's labels.
fn label(text: &str) -> String {
    let mut out = String::new();
    let mut up = false;
    for c in text.chars() {
        if c == '-' {
            up = true;
        } else {
            out.push(if std::mem::take(&mut up) {
                c.to_ascii_uppercase()
            } else {
                c
            });
        }
    }
    out
}

/// The number of a reason in its index: its place, from 1 on.
pub fn refusals() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(RejectionReason::ALL)
        .map(|(n, r)| (n, r.name(), Counter::Rejected(*r)))
}

/// The same for kinds of failures.
pub fn faults() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(FailureReason::ALL)
        .map(|(n, f)| (n, f.name(), Counter::Failed(*f)))
}

/// The same for outcomes.
pub fn outcomes() -> impl Iterator<Item = (u32, &'static str, Counter)> {
    (1..)
        .zip(AttemptOutcome::ALL)
        .map(|(n, o)| (n, o.name(), Counter::Attempt(*o)))
}

/// `mibs/VALEHATCH-MIB.txt`.
#[must_use]
pub fn mib() -> String {
    let mut out = String::from(HEAD);
    let words = |list: &[(u32, &'static str, Counter)]| {
        let all: Vec<String> = list
            .iter()
            .map(|(n, name, _)| format!("{}({n})", label(name)))
            .collect();
        all.join(", ")
    };
    for (name, about, list) in [
        (
            "VhRefusal",
            "Why a request was refused.",
            refusals().collect::<Vec<_>>(),
        ),
        ("VhFault", "How a request failed.", faults().collect()),
        ("VhOutcome", "How an attempt ended.", outcomes().collect()),
    ] {
        out.push_str(&format!(
            "\n{name} ::= TEXTUAL-CONVENTION\n    STATUS current\n    DESCRIPTION \"{about}\"\n    SYNTAX INTEGER {{ {} }}\n",
            words(&list)
        ));
    }
    out.push_str("\nvhNotifications OBJECT IDENTIFIER ::= { vhMIB 0 }\nvhObjects OBJECT IDENTIFIER ::= { vhMIB 1 }\nvhConformance OBJECT IDENTIFIER ::= { vhMIB 2 }\n");
    let mut named = vec![];
    for scalars in SCALARS {
        let At::Own(arc) = scalars.at else { continue };
        out.push_str(&format!(
            "\n{} OBJECT IDENTIFIER ::= {{ vhObjects {arc} }}\n",
            scalars.name
        ));
        for object in scalars.objects {
            put(
                &mut out,
                object.name,
                object,
                "read-only",
                scalars.name,
                object.arc,
            );
            named.push(object.name.to_owned());
        }
    }
    for table in TABLES {
        put_table(&mut out, table, &mut named);
    }
    out.push_str(&format!(
        "\nvhCarried OBJECT IDENTIFIER ::= {{ vhObjects {CARRIED_AT} }}\n"
    ));
    for object in CARRIED {
        put(
            &mut out,
            object.name,
            object,
            "accessible-for-notify",
            "vhCarried",
            object.arc,
        );
        named.push(object.name.to_owned());
    }
    for (name, arc, carried, about) in NOTICES {
        let names: Vec<&str> = carried
            .iter()
            .filter_map(|arc| CARRIED.iter().find(|o| o.arc == *arc).map(|o| o.name))
            .collect();
        out.push_str(&format!(
            "\n{name} NOTIFICATION-TYPE\n    OBJECTS {{ {} }}\n    STATUS current\n    DESCRIPTION \"{about}\"\n    ::= {{ vhNotifications {arc} }}\n",
            names.join(", ")
        ));
    }
    let notices: Vec<&str> = NOTICES.iter().map(|(name, ..)| *name).collect();
    out.push_str(&format!(
        "\nvhGroups OBJECT IDENTIFIER ::= {{ vhConformance 1 }}\nvhCompliances OBJECT IDENTIFIER ::= {{ vhConformance 2 }}\n\nvhObjectGroup OBJECT-GROUP\n    OBJECTS {{ {} }}\n    STATUS current\n    DESCRIPTION \"All objects.\"\n    ::= {{ vhGroups 1 }}\n\nvhNotificationGroup NOTIFICATION-GROUP\n    NOTIFICATIONS {{ {} }}\n    STATUS current\n    DESCRIPTION \"All notifications.\"\n    ::= {{ vhGroups 2 }}\n\nvhCompliance MODULE-COMPLIANCE\n    STATUS current\n    DESCRIPTION \"What a gateway has.\"\n    MODULE\n        MANDATORY-GROUPS {{ vhObjectGroup, vhNotificationGroup }}\n    ::= {{ vhCompliances 1 }}\n\nEND\n",
        wrapped(&named),
        wrapped(&notices)
    ));
    out
}

fn wrapped(names: &[impl AsRef<str>]) -> String {
    let all: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    all.chunks(4)
        .map(|c| c.join(", "))
        .collect::<Vec<_>>()
        .join(",\n        ")
}

fn syntax(syntax: Syntax) -> String {
    match syntax {
        Counter64 => "Counter64".into(),
        Counter32 => "Counter32".into(),
        Gauge => "Gauge32".into(),
        Ticks => "TimeTicks".into(),
        Text => "SnmpAdminString".into(),
        Bytes => "OCTET STRING".into(),
        Name => "OBJECT IDENTIFIER".into(),
        Words(words) => {
            let all: Vec<String> = words
                .iter()
                .map(|(name, n)| format!("{name}({n})"))
                .collect();
            format!("INTEGER {{ {} }}", all.join(", "))
        }
    }
}

fn put(out: &mut String, name: &str, object: &Object, access: &str, under: &str, arc: u32) {
    let units = if object.units.is_empty() {
        String::new()
    } else {
        format!("    UNITS \"{}\"\n", object.units)
    };
    out.push_str(&format!(
        "\n{name} OBJECT-TYPE\n    SYNTAX {}\n{units}    MAX-ACCESS {access}\n    STATUS current\n    DESCRIPTION \"{}\"\n    ::= {{ {under} {arc} }}\n",
        syntax(object.syntax),
        object.about
    ));
}

/// Index objects belong to the first table that has them; later ones name them.
fn owner(name: &str) -> Option<&'static Table> {
    TABLES
        .iter()
        .find(|t| t.index.iter().any(|(n, ..)| *n == name))
}

fn put_table(out: &mut String, table: &Table, named: &mut Vec<String>) {
    let name = table.name;
    let row = format!("{}{}Entry", &name[..1].to_ascii_uppercase(), &name[1..]);
    let index: Vec<&str> = table.index.iter().map(|(n, ..)| *n).collect();
    out.push_str(&format!(
        "\n{name}Table OBJECT-TYPE\n    SYNTAX SEQUENCE OF {row}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"{}\"\n    ::= {{ vhObjects {} }}\n",
        table.about, table.arc
    ));
    out.push_str(&format!(
        "\n{name}Entry OBJECT-TYPE\n    SYNTAX {row}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"A row.\"\n    INDEX {{ {} }}\n    ::= {{ {name}Table 1 }}\n",
        index.join(", ")
    ));
    let own: Vec<_> = table
        .index
        .iter()
        .filter(|(n, ..)| owner(n).is_some_and(|t| t.name == name))
        .collect();
    let kind = |(n, part): (&str, Part)| match (part, n) {
        (Part::Text, _) => ("SnmpAdminString", "SnmpAdminString (SIZE (1..32))"),
        (_, "vhRefusedReason") => ("VhRefusal", "VhRefusal"),
        (_, "vhFailedReason") => ("VhFault", "VhFault"),
        (_, "vhAttemptOutcome") => ("VhOutcome", "VhOutcome"),
        _ => ("Unsigned32", "Unsigned32 (1..4294967295)"),
    };
    let mut fields: Vec<String> = own
        .iter()
        .map(|(n, part, _)| format!("{n} {}", kind((n, *part)).0))
        .collect();
    let plain = |s: Syntax| {
        if let Words(_) = s {
            "INTEGER".into()
        } else {
            syntax(s)
        }
    };
    fields.extend(
        table
            .columns
            .iter()
            .map(|c| format!("{} {}", column_name(table, c), plain(c.syntax))),
    );
    out.push_str(&format!(
        "\n{row} ::= SEQUENCE {{\n    {}\n}}\n",
        fields.join(",\n    ")
    ));
    // An index object's number: its place among the columns, before those that can be read.
    for (place, (n, part, about)) in (1..).zip(own.iter().map(|i| **i)) {
        let syntax = kind((n, part)).1;
        out.push_str(&format!(
            "\n{n} OBJECT-TYPE\n    SYNTAX {syntax}\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"{about}\"\n    ::= {{ {name}Entry {place} }}\n"
        ));
    }
    for column in table.columns {
        let full = column_name(table, column);
        put(
            out,
            &full,
            column,
            "read-only",
            &format!("{name}Entry"),
            column.arc,
        );
        named.push(full);
    }
}

const HEAD: &str = "VALEHATCH-MIB DEFINITIONS ::= BEGIN

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
