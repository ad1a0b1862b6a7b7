//! Messages that consist of zero-terminated strings.

/// Splits a body into exactly `N` zero-terminated strings; `None` if it is anything else.
fn strings<const N: usize>(body: &[u8]) -> Option<[&str; N]> {
    let text = std::str::from_utf8(body.strip_suffix(b"\0")?).ok()?;
    let strings: Vec<_> = text.split('\0').collect();
    strings.try_into().ok()
}

/// A run-time parameter reported by a database.
pub(crate) struct ParameterStatus<'a> {
    pub name: &'a str,
    pub value: &'a str,
}

/// Decodes a ParameterStatus.
pub(crate) fn parameter_status(body: &[u8]) -> Option<ParameterStatus<'_>> {
    strings(body).map(|[name, value]| ParameterStatus { name, value })
}

/// Decodes the command tag of a CommandComplete.
pub(crate) fn command_tag(body: &[u8]) -> Option<&str> {
    strings(body).map(|[tag]| tag)
}
