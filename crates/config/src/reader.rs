//! Reads a TOML document key by key. All faults are collected with their keys and lines, so that
//! one run reports all of them. All values, read or defaulted, are collected too, so that the file
//! can be printed with its defaults.

mod invalid_value;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use self::invalid_value::{InvalidValue, as_number, as_text, wrong_type};
use strsim::levenshtein;
use toml_edit::{Array, ArrayOfTables, Document, Item, Table, TableLike, Value};

/// A fault in the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The line, from 1; 0 if the file cannot be read.
    pub line: usize,
    /// The key with its path; empty if the file as such is at fault.
    pub key: String,
    /// Description of the fault, worded to follow the key.
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, key, what } = self;
        if key.is_empty() {
            write!(f, "line {line}: {what}")
        } else {
            write!(f, "line {line}: {key} {what}")
        }
    }
}

impl Error for ConfigError {}

/// The text of a file, and the faults found in it so far.
pub struct Source {
    text: String,
    faults: RefCell<Vec<ConfigError>>,
}

impl Source {
    /// Creates a source without faults.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self {
            text,
            faults: RefCell::new(vec![]),
        }
    }

    /// Parses the text as TOML. If it is not TOML, adds a fault and returns `None`.
    #[must_use]
    pub fn document(&self) -> Option<Document<&str>> {
        match Document::parse(self.text.as_str()) {
            Ok(document) => Some(document),
            Err(e) => {
                let offset = e.span().map_or(0, |span| span.start);
                let what = format!("is no TOML: {}", e.message());
                self.add_fault(self.line(offset), String::new(), what);
                None
            }
        }
    }

    /// The line of a byte offset, from 1.
    fn line(&self, offset: usize) -> usize {
        let before = self.text.bytes().take(offset);
        1 + before.filter(|byte| *byte == b'\n').count()
    }

    fn add_fault(&self, line: usize, key: String, what: String) {
        self.faults
            .borrow_mut()
            .push(ConfigError { line, key, what });
    }

    /// All faults, ordered by line.
    #[must_use]
    pub fn faults(&self) -> Vec<ConfigError> {
        let mut faults = self.faults.borrow().clone();
        faults.sort_by_key(|fault| fault.line);
        faults
    }
}

/// A table of the document; in a missing table all keys have their defaults.
pub struct Section<'a> {
    source: &'a Source,
    path: String,
    table: Option<&'a dyn TableLike>,
    /// Line of the table's header.
    line: usize,
    /// Keys that were read; other keys in the table are reported as unknown.
    known_keys: RefCell<BTreeSet<String>>,
    /// The table with its defaults.
    completed: RefCell<Table>,
}

impl<'a> Section<'a> {
    /// The root table of a document.
    #[must_use]
    pub fn root(source: &'a Source, document: &'a Document<&str>) -> Self {
        Self::new(source, String::new(), Some(document.as_table()), 1)
    }

    fn new(
        source: &'a Source,
        path: String,
        table: Option<&'a dyn TableLike>,
        line: usize,
    ) -> Self {
        Self {
            source,
            path,
            table,
            line,
            known_keys: RefCell::default(),
            completed: RefCell::default(),
        }
    }

    /// A key with the path of this section.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn item(&self, key: &str) -> Option<&'a Item> {
        self.known_keys.borrow_mut().insert(key.to_owned());
        self.table?.get(key).filter(|item| !item.is_none())
    }

    /// The line of a span; the section's line without a span.
    fn line_at(&self, span: Option<Range<usize>>) -> usize {
        span.map_or(self.line, |span| self.source.line(span.start))
    }

    fn key_span(&self, key: &str) -> Option<Range<usize>> {
        self.table?.key(key)?.span()
    }

    fn line_of(&self, key: &str) -> usize {
        let item = self.table.and_then(|table| table.get(key));
        let span = item.and_then(Item::span).or_else(|| self.key_span(key));
        self.line_at(span)
    }

    /// Whether the file has the key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.get(key).is_some())
    }

    /// Adds a fault of a key, on the key's line or, if the key is missing, on the section's line.
    pub fn fault(&self, key: &str, what: impl Into<String>) {
        self.source
            .add_fault(self.line_of(key), self.path_of(key), what.into());
    }

    /// The value of a key, or its default. A missing key without a default is a fault, and so is an
    /// invalid value; reading then continues with `fallback`.
    fn value<T: Clone>(
        &self,
        key: &str,
        default: Option<T>,
        fallback: T,
        read: impl Fn(&Value) -> Result<T, InvalidValue>,
        show: impl Fn(&T) -> Value,
    ) -> T {
        let value = match self.item(key) {
            Some(item) => {
                let value = item.as_value().ok_or(InvalidValue::Table).and_then(read);
                value.unwrap_or_else(|invalid| {
                    self.fault(key, invalid.to_string());
                    fallback
                })
            }
            None => default.unwrap_or_else(|| {
                self.source
                    .add_fault(self.line, self.path_of(key), "is missing".into());
                fallback
            }),
        };
        self.completed
            .borrow_mut()
            .insert(key, Item::Value(show(&value)));
        value
    }

    /// A text; after a fault, an empty text is returned.
    #[must_use]
    pub fn text(&self, key: &str, default: Option<&str>) -> String {
        self.value(
            key,
            default.map(str::to_owned),
            String::new(),
            |value| as_text(value).map(str::to_owned),
            |text| Value::from(text.as_str()),
        )
    }

    /// A text; `None` if the key is missing.
    #[must_use]
    pub fn optional_text(&self, key: &str) -> Option<String> {
        self.has(key).then(|| self.text(key, None))
    }

    /// A name: 1 to 32 printable ASCII characters without a space, since SNMP uses it as an index.
    /// After a fault, `?` is returned.
    #[must_use]
    pub fn name(&self, key: &str, default: Option<&str>) -> String {
        let read = |value: &Value| {
            let text = as_text(value)?;
            let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
            if (1..=32).contains(&text.len()) && printable {
                Ok(text.to_owned())
            } else {
                Err(InvalidValue::NotAName(text.to_owned()))
            }
        };
        self.value(key, default.map(str::to_owned), "?".into(), read, |name| {
            Value::from(name.as_str())
        })
    }

    /// A whole number within bounds; after a fault, the lower bound is returned.
    #[must_use]
    pub fn integer(&self, key: &str, default: Option<i64>, bounds: RangeInclusive<i64>) -> i64 {
        let read = |value: &Value| {
            let n = value
                .as_integer()
                .ok_or_else(|| wrong_type(value, "a whole number"))?;
            if bounds.contains(&n) {
                Ok(n)
            } else {
                Err(InvalidValue::WholeOutOfBounds(n, bounds.clone()))
            }
        };
        self.value(key, default, *bounds.start(), read, |n| Value::from(*n))
    }

    /// A whole number within bounds, as a `usize`; after a fault, the lower bound is returned.
    #[must_use]
    pub fn size(&self, key: &str, default: usize, bounds: RangeInclusive<i64>) -> usize {
        let default = i64::try_from(default).unwrap_or(i64::MAX);
        usize::try_from(self.integer(key, Some(default), bounds)).unwrap_or(0)
    }

    /// A number within bounds, with or without a fraction; after a fault, the lower bound is
    /// returned.
    #[must_use]
    pub fn number(&self, key: &str, default: Option<f64>, bounds: RangeInclusive<f64>) -> f64 {
        let read = |value: &Value| {
            let n = as_number(value)?;
            if bounds.contains(&n) {
                Ok(n)
            } else {
                Err(InvalidValue::NumberOutOfBounds(n, bounds.clone()))
            }
        };
        self.value(key, default, *bounds.start(), read, |n| Value::from(*n))
    }

    /// A number above 0 and at most `max`; after a fault, `max` is returned.
    #[must_use]
    pub fn above_zero(&self, key: &str, default: Option<f64>, max: f64) -> f64 {
        let read = |value: &Value| {
            let n = as_number(value)?;
            if n > 0.0 && n <= max {
                Ok(n)
            } else {
                Err(InvalidValue::NotAboveZero { value: n, max })
            }
        };
        self.value(key, default, max, read, |n| Value::from(*n))
    }

    /// A Boolean; after a fault, the default is returned.
    #[must_use]
    pub fn flag(&self, key: &str, default: bool) -> bool {
        let read = |value: &Value| {
            value
                .as_bool()
                .ok_or_else(|| wrong_type(value, "true or false"))
        };
        self.value(key, Some(default), default, read, |flag| Value::from(*flag))
    }

    /// A required address with a port; after a fault, 127.0.0.1:0 is returned.
    #[must_use]
    pub fn address(&self, key: &str) -> SocketAddr {
        let read = |value: &Value| {
            let text = value
                .as_str()
                .ok_or_else(|| wrong_type(value, "an address with a port"))?;
            text.parse()
                .map_err(|_| InvalidValue::NotAnAddress(text.to_owned()))
        };
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        self.value(key, None, fallback, read, |address| {
            Value::from(address.to_string())
        })
    }

    /// The value of one of the given texts; after a fault, the first value is returned.
    #[must_use]
    pub fn choice<T: Copy + PartialEq>(
        &self,
        key: &str,
        default: Option<&str>,
        choices: &[(&str, T)],
    ) -> T {
        let by_name = |name: &str| {
            let choice = choices.iter().find(|(known, _)| *known == name);
            choice.map(|(_, value)| *value)
        };
        let read = |value: &Value| {
            let text = as_text(value)?;
            by_name(text).ok_or_else(|| InvalidValue::NotAChoice {
                text: text.to_owned(),
                choices: choices.iter().map(|(name, _)| (*name).to_owned()).collect(),
            })
        };
        let show = |value: &T| {
            let choice = choices.iter().find(|(_, known)| known == value);
            Value::from(choice.map_or("", |(name, _)| *name))
        };
        self.value(key, default.and_then(by_name), choices[0].1, read, show)
    }

    /// A list of texts; after a fault, an empty list is returned.
    #[must_use]
    pub fn texts(&self, key: &str, default: Option<&[&str]>) -> Vec<String> {
        let read = |value: &Value| {
            let list = value
                .as_array()
                .ok_or_else(|| wrong_type(value, "a list of texts"))?;
            let texts = list.iter().map(|item| item.as_str().map(str::to_owned));
            texts
                .collect::<Option<Vec<_>>>()
                .ok_or(InvalidValue::ItemNotAText)
        };
        let show =
            |texts: &Vec<String>| Value::Array(texts.iter().map(String::as_str).collect::<Array>());
        let default = default.map(|texts| texts.iter().map(|text| (*text).to_owned()).collect());
        self.value(key, default, vec![], read, show)
    }

    /// A table within this table, which may be missing.
    #[must_use]
    pub fn section(&self, key: &str) -> Section<'a> {
        let item = self.item(key);
        let table = item.and_then(Item::as_table_like);
        if item.is_some() && table.is_none() {
            self.fault(key, "is a value, not a table");
        }
        Section::new(self.source, self.path_of(key), table, self.line_of(key))
    }

    /// A table within this table; `None` if the file does not have it.
    #[must_use]
    pub fn optional_section(&self, key: &str) -> Option<Section<'a>> {
        self.has(key).then(|| self.section(key))
    }

    /// The tables of a list, which may be missing.
    #[must_use]
    pub fn list(&self, key: &str) -> Vec<Section<'a>> {
        let Some(item) = self.item(key) else {
            return vec![];
        };
        let path = self.path_of(key);
        let mut sections = vec![];
        match item {
            Item::ArrayOfTables(tables) => {
                for (n, table) in tables.iter().enumerate() {
                    let line = self.line_at(table.span());
                    let path = format!("{path}.{n}");
                    sections.push(Section::new(self.source, path, Some(table), line));
                }
            }
            Item::Value(Value::Array(values)) if values.iter().all(Value::is_inline_table) => {
                for (n, value) in values.iter().enumerate() {
                    let line = self.line_at(value.span());
                    let path = format!("{path}.{n}");
                    let table = value.as_inline_table().map(|table| table as &dyn TableLike);
                    sections.push(Section::new(self.source, path, table, line));
                }
            }
            _ => self.fault(key, "is not a list of tables"),
        }
        sections
    }

    /// Adds a fault for each unknown key, and returns the table with its defaults.
    #[must_use]
    pub fn finish(self) -> Table {
        let known = self.known_keys.borrow();
        for (key, _) in self.table.into_iter().flat_map(TableLike::iter) {
            if known.contains(key) {
                continue;
            }
            let line = self.line_at(self.key_span(key));
            let hint = similar_key(&known, key).map(|near| format!("; is {near} meant?"));
            let what = format!("is not known{}", hint.unwrap_or_default());
            self.source.add_fault(line, self.path_of(key), what);
        }
        drop(known);
        self.completed.into_inner()
    }

    /// Adds a table to the file with its defaults.
    pub fn put(&self, key: &str, table: Table) {
        self.completed.borrow_mut().insert(key, Item::Table(table));
    }

    /// Adds a list of tables to the file with its defaults, unless the list is empty.
    pub fn put_list(&self, key: &str, tables: Vec<Table>) {
        if tables.is_empty() {
            return;
        }
        let list: ArrayOfTables = tables.into_iter().collect();
        self.completed
            .borrow_mut()
            .insert(key, Item::ArrayOfTables(list));
    }
}

/// The known key that is most similar to an unknown one, if it is similar enough to suggest.
fn similar_key<'k>(known: &'k BTreeSet<String>, key: &str) -> Option<&'k String> {
    const MAX_DISTANCE: usize = 3;
    let nearest = known
        .iter()
        .map(|candidate| (levenshtein(candidate, key), candidate))
        .min();
    let (distance, candidate) = nearest?;
    (distance <= MAX_DISTANCE).then_some(candidate)
}
