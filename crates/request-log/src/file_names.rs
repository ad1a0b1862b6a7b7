//! Names of the files in the state directory. Operators' tools and later versions find them by
//! these names.

/// The newest checkpoint.
pub(crate) const CHECKPOINT: &str = "checkpoint";
/// The checkpoint before the newest.
pub(crate) const OLDER_CHECKPOINT: &str = "checkpoint.old";
/// A checkpoint that is being written.
pub(crate) const NEW_CHECKPOINT: &str = "checkpoint.new";
/// Marks since the newest checkpoint.
pub(crate) const MARKS: &str = "marks.log";
/// Marks between the older checkpoint and the newest.
pub(crate) const OLDER_MARKS: &str = "marks.old";
/// Lock file: only one process may use the directory.
pub(crate) const LOCK: &str = "lock";

/// The name of a segment of the request log.
pub(crate) fn segment(number: u64) -> String {
    format!("requests-{number:08}.log")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("requests-")?
        .strip_suffix(".log")?
        .parse()
        .ok()
}

/// The numbers of the segments among the names, ascending.
pub(crate) fn segment_numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| segment_number(name))
        .collect();
    numbers.sort_unstable();
    numbers
}
