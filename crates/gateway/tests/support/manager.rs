//! An SNMP manager on a third-party client library, and a count of the request log to compare it
//! with.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use snmp2::v3::{Auth, AuthProtocol, Cipher, Security};
use snmp2::{Oid, SyncSession, Value};
use valehatch_request_log::{Counter, CounterRow, Counters, RequestRecord, RowKey, Scope};

pub(crate) const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 5739];

/// Result of a walk: numbers and texts by OID.
#[derive(Clone, Debug, Default)]
pub(crate) struct Walk {
    pub counters: BTreeMap<Vec<u32>, u64>,
    pub gauges: BTreeMap<Vec<u32>, u64>,
    pub texts: BTreeMap<Vec<u32>, Vec<u8>>,
}

/// An OID in the MIB of the gateway.
pub(crate) fn vh_oid(more: &[u32]) -> Vec<u32> {
    [&ROOT[..], &[1], more].concat()
}

fn oid(name: &[u32]) -> Oid<'static> {
    let name: Vec<u64> = name.iter().map(|n| u64::from(*n)).collect();
    Oid::from(&name).unwrap()
}

pub(crate) fn v2c(agent: SocketAddr) -> SyncSession {
    SyncSession::new_v2c(agent, b"stays", Some(Duration::from_secs(5)), 1).unwrap()
}

/// Credentials of a user whose keys `snmp_keys` made from this password.
pub(crate) fn security(user: &str, password: &[u8]) -> Security {
    Security::new(user.as_bytes(), password)
        .with_auth_protocol(AuthProtocol::Sha256)
        .with_auth(Auth::AuthPriv {
            cipher: Cipher::Aes128,
            privacy_password: password.to_vec(),
        })
}

pub(crate) fn v3(agent: SocketAddr, user: &str, password: &[u8]) -> SyncSession {
    let wait = Some(Duration::from_secs(5));
    SyncSession::new_v3(agent, wait, 1, security(user, password)).unwrap()
}

impl Walk {
    /// Walks everything below an OID by GETBULK. A v3 session learns the time of the engine from
    /// its first report.
    pub(crate) fn fetch(session: &mut SyncSession, below: &[u32]) -> Result<Self, snmp2::Error> {
        let mut walk = Self::default();
        let mut last = below.to_vec();
        let mut retries = 0;
        loop {
            let from = oid(&last);
            let pdu = match session.getbulk(&[&from], 0, 40) {
                Ok(pdu) => pdu,
                Err(snmp2::Error::AuthUpdated) if retries < 3 => {
                    retries += 1;
                    continue;
                }
                Err(e) => return Err(e),
            };
            let mut progress = false;
            for (name, value) in pdu.varbinds {
                let name: Vec<u32> = name
                    .iter()
                    .unwrap()
                    .map(|n| u32::try_from(n).unwrap())
                    .collect();
                if !name.starts_with(below) || matches!(value, Value::EndOfMibView) {
                    return Ok(walk);
                }
                assert!(name > last, "{name:?} after {last:?}");
                progress = true;
                last.clone_from(&name);
                match value {
                    Value::Counter64(n) => drop(walk.counters.insert(name, n)),
                    Value::Counter32(n) | Value::Unsigned32(n) | Value::Timeticks(n) => {
                        walk.gauges.insert(name, n.into());
                    }
                    Value::Integer(n) => drop(walk.gauges.insert(name, u64::try_from(n).unwrap())),
                    Value::OctetString(text) => drop(walk.texts.insert(name, text.to_vec())),
                    Value::ObjectIdentifier(_) => {}
                    other => panic!("{name:?}: {other:?}"),
                }
            }
            assert!(progress, "an answer without variables after {last:?}");
        }
    }

    /// Counters of the request tables, which survive a restart.
    pub(crate) fn request_counters(&self) -> impl Iterator<Item = (&Vec<u32>, &u64)> {
        let within = |name: &&Vec<u32>| (3..=12).contains(&name[ROOT.len() + 1]);
        self.counters
            .iter()
            .filter(move |(name, _)| name.starts_with(&vh_oid(&[])) && within(name))
    }

    /// Checks that no counter of the request tables is lower than in an earlier walk.
    pub(crate) fn check_not_below(&self, before: &Self) -> Result<(), String> {
        for (name, n) in before.request_counters() {
            let now = self.counters.get(name).copied();
            if now.is_none_or(|now| now < *n) {
                return Err(format!("{name:?} fell from {n} to {now:?}"));
            }
        }
        Ok(())
    }

    /// The number at an OID of the gateway.
    pub(crate) fn value(&self, more: &[u32]) -> u64 {
        let name = vh_oid(more);
        *self
            .counters
            .get(&name)
            .or(self.gauges.get(&name))
            .unwrap_or_else(|| panic!("{name:?}"))
    }
}

/// A text as a table index: its length and its bytes.
pub(crate) fn text_index(text: &str) -> Vec<u32> {
    std::iter::once(u32::try_from(text.len()).unwrap())
        .chain(text.bytes().map(u32::from))
        .collect()
}

/// Counts the lines of the request log; asserts that their sequence numbers have no gap and no
/// duplicate. Returns the counters and the number of lines.
pub(crate) fn audit_request_log(dir: &Path) -> (Counters, u64) {
    let mut names: Vec<_> = std::fs::read_dir(dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    names.retain(|p| p.extension().is_some_and(|e| e == "log") && !p.ends_with("marks.log"));
    names.sort();
    let (mut counters, mut last, mut lines) = (Counters::default(), 0, 0);
    for path in names {
        for line in std::fs::read(&path)
            .unwrap()
            .split_inclusive(|b| *b == b'\n')
        {
            let (seq, record) = RequestRecord::parse_line(line)
                .unwrap_or_else(|e| panic!("{}: {e:?}", path.display()));
            assert_eq!(
                seq,
                last + 1,
                "{}: a record is missing or duplicated",
                path.display()
            );
            (last, lines) = (seq, lines + 1);
            counters.count(&record);
        }
    }
    (counters, lines)
}

/// What a walk must show for these counters: each cell of the request tables by OID.
pub(crate) fn expected_counters(counters: &Counters, rows: &[RowKey]) -> BTreeMap<Vec<u32>, u64> {
    let empty = CounterRow::default();
    let mut all = BTreeMap::new();
    for key in rows {
        let row = counters.get(key).unwrap_or(&empty);
        let table = if key.scope == Scope::Class { 3 } else { 8 };
        let at = [text_index(&key.front), text_index(&key.name)].concat();
        let mut put = |table: u32, column: u32, more: &[u32], n: u64| {
            all.insert([&vh_oid(&[table, 1, column])[..], &at, more].concat(), n);
        };
        for (column, n) in [
            (3, row.finished()),
            (6, row.rejected()),
            (7, row.failed()),
            (9, row.attempts()),
        ] {
            put(table, column, &[], n);
        }
        for counter in Counter::all() {
            let n = row.get(counter);
            match counter {
                Counter::InTime => put(table, 4, &[], n),
                Counter::Late => put(table, 5, &[], n),
                Counter::Aborted => put(table, 8, &[], n),
                Counter::Rejected(why) => put(table + 1, 3, &[why as u32 + 1], n),
                Counter::Failed(how) => put(table + 2, 3, &[how as u32 + 1], n),
                Counter::Attempt(how) => put(table + 3, 3, &[how as u32 + 1], n),
                Counter::LatencyBucket(bucket) => {
                    put(table + 4, 3, &[u32::try_from(bucket).unwrap() + 1], n)
                }
            }
        }
    }
    all
}
