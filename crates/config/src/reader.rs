//! Reads a TOML document key by key. Every fault is kept with its key and its line, so that one look at a file tells all
//! that is wrong with it, and every value that was read or filled in is kept, so that the whole can be printed.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use strsim::levenshtein;
use toml_edit::{Array, ArrayOfTables, Document, Item, Table, TableLike, Value};

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The line, from 1.
    pub line: usize,
    /// The key with its path, empty for the form of the whole.
    pub key: String,
    /// What is wrong with it.
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

/// The text that is read and what was found wrong with it.
pub struct Source {
    text: String,
    faults: RefCell<Vec<ConfigError>>,
}

impl Source {
    /// For reading a text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self {
            text,
            faults: RefCell::new(vec![]),
        }
    }

    /// The document, if it is TOML at all.
    #[must_use]
    pub fn document(&self) -> Option<Document<&str>> {
        match Document::parse(self.text.as_str()) {
            Ok(document) => Some(document),
            Err(e) => {
                let at = e.span().map_or(0, |s| s.start);
                self.fault(
                    self.line(at),
                    String::new(),
                    format!("is no TOML: {}", e.message()),
                );
                None
            }
        }
    }

    fn line(&self, at: usize) -> usize {
        1 + self.text.bytes().take(at).filter(|b| *b == b'\n').count()
    }

    fn fault(&self, line: usize, key: String, what: String) {
        self.faults
            .borrow_mut()
            .push(ConfigError { line, key, what });
    }

    /// All that was wrong, by line.
    #[must_use]
    pub fn faults(&self) -> Vec<ConfigError> {
        let mut faults = self.faults.borrow().clone();
        faults.sort_by_key(|f| f.line);
        faults
    }
}

/// A table of the document, or one that it does not have and whose keys all have their defaults.
pub struct Section<'a> {
    source: &'a Source,
    path: String,
    table: Option<&'a dyn TableLike>,
    line: usize,
    seen: RefCell<BTreeSet<String>>,
    shown: RefCell<Table>,
}

impl<'a> Section<'a> {
    /// The document itself.
    #[must_use]
    pub fn root(source: &'a Source, document: &'a Document<&str>) -> Self {
        Self::over(source, String::new(), Some(document.as_table()), 1)
    }

    fn over(
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
            seen: RefCell::default(),
            shown: RefCell::default(),
        }
    }

    fn path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn item(&self, key: &str) -> Option<&'a Item> {
        self.seen.borrow_mut().insert(key.to_owned());
        self.table?.get(key).filter(|item| !item.is_none())
    }

    fn line_of(&self, key: &str) -> usize {
        let item = self.table.and_then(|t| t.get(key));
        let span = item
            .and_then(Item::span)
            .or_else(|| self.table?.key(key)?.span());
        span.map_or(self.line, |s| self.source.line(s.start))
    }

    /// Whether the file has the key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|t| t.get(key).is_some())
    }

    /// Says that a key is at fault: on its line, or on the section's where it is missing.
    pub fn fault(&self, key: &str, what: impl Into<String>) {
        self.source
            .fault(self.line_of(key), self.path(key), what.into());
    }

    /// A value: as the file has it, else the default; without one it must be there. What cannot be read is a fault, and
    /// the fallback stands in for it, so that reading goes on.
    fn value<T: Clone>(
        &self,
        key: &str,
        default: Option<T>,
        fallback: T,
        read: impl Fn(&Value) -> Result<T, String>,
        show: impl Fn(&T) -> Value,
    ) -> T {
        let value = match self.item(key) {
            None => default.unwrap_or_else(|| {
                self.source
                    .fault(self.line, self.path(key), "is missing".into());
                fallback
            }),
            Some(item) => {
                let value = item
                    .as_value()
                    .ok_or_else(|| "is a table, not a value".into());
                value.and_then(read).unwrap_or_else(|what| {
                    self.fault(key, what);
                    fallback
                })
            }
        };
        self.shown
            .borrow_mut()
            .insert(key, Item::Value(show(&value)));
        value
    }

    /// A text.
    #[must_use]
    pub fn text(&self, key: &str, default: Option<&str>) -> String {
        let read = |v: &Value| {
            v.as_str()
                .map(str::to_owned)
                .ok_or_else(|| not(v, "a text"))
        };
        self.value(key, default.map(str::to_owned), String::new(), read, |s| {
            Value::from(s.as_str())
        })
    }

    /// A text that may be missing.
    #[must_use]
    pub fn text_if(&self, key: &str) -> Option<String> {
        self.has(key).then(|| self.text(key, None))
    }

    /// A name: 1 to 32 printable ASCII characters without a space, since the agent shows it as an index.
    #[must_use]
    pub fn name(&self, key: &str, default: Option<&str>) -> String {
        let read = |v: &Value| {
            let text = v.as_str().ok_or_else(|| not(v, "a text"))?;
            let fits = (1..=32).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
            fits.then(|| text.to_owned()).ok_or_else(|| {
                format!("is {text:?}, not a name of 1 to 32 printable ASCII characters")
            })
        };
        self.value(key, default.map(str::to_owned), "?".into(), read, |s| {
            Value::from(s.as_str())
        })
    }

    /// A whole number within bounds.
    #[must_use]
    pub fn whole(&self, key: &str, default: Option<i64>, bounds: RangeInclusive<i64>) -> i64 {
        let read = |v: &Value| {
            let n = v.as_integer().ok_or_else(|| not(v, "a whole number"))?;
            let within = bounds.contains(&n).then_some(n);
            within.ok_or_else(|| format!("is {n}, not from {} to {}", bounds.start(), bounds.end()))
        };
        self.value(key, default, *bounds.start(), read, |n| Value::from(*n))
    }

    /// A whole number as a size.
    #[must_use]
    pub fn size(&self, key: &str, default: usize, bounds: RangeInclusive<i64>) -> usize {
        let default = i64::try_from(default).unwrap_or(i64::MAX);
        usize::try_from(self.whole(key, Some(default), bounds)).unwrap_or(0)
    }

    /// A number within bounds; a whole one will do.
    #[must_use]
    pub fn number(&self, key: &str, default: Option<f64>, bounds: RangeInclusive<f64>) -> f64 {
        let read = |v: &Value| {
            let n = number(v)?;
            let within = bounds.contains(&n).then_some(n);
            within.ok_or_else(|| format!("is {n}, not from {} to {}", bounds.start(), bounds.end()))
        };
        self.value(key, default, *bounds.start(), read, |n| Value::from(*n))
    }

    /// A number above 0 and no more than a bound.
    #[must_use]
    pub fn above_zero(&self, key: &str, default: Option<f64>, most: f64) -> f64 {
        let read = |v: &Value| {
            let n = number(v)?;
            let within = (n > 0.0 && n <= most).then_some(n);
            within.ok_or_else(|| format!("is {n}, not above 0 and at most {most}"))
        };
        self.value(key, default, most, read, |n| Value::from(*n))
    }

    /// Yes or no.
    #[must_use]
    pub fn flag(&self, key: &str, default: bool) -> bool {
        let read = |v: &Value| v.as_bool().ok_or_else(|| not(v, "true or false"));
        self.value(key, Some(default), default, read, |b| Value::from(*b))
    }

    /// An address with a port.
    #[must_use]
    pub fn address(&self, key: &str) -> SocketAddr {
        let read = |v: &Value| {
            let text = v.as_str().ok_or_else(|| not(v, "an address with a port"))?;
            text.parse()
                .map_err(|_| format!("is {text:?}, not an address with a port"))
        };
        self.value(
            key,
            None,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            read,
            |a| Value::from(a.to_string()),
        )
    }

    /// One of some words.
    #[must_use]
    pub fn choice<T: Copy + PartialEq>(
        &self,
        key: &str,
        default: Option<&str>,
        choices: &[(&str, T)],
    ) -> T {
        let named = |name: &str| {
            choices
                .iter()
                .find(|(n, _)| *n == name)
                .map(|(_, value)| *value)
        };
        let read = |v: &Value| {
            let text = v.as_str().ok_or_else(|| not(v, "a text"))?;
            named(text).ok_or_else(|| {
                let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
                format!("is {text:?}, not one of {}", names.join(", "))
            })
        };
        let show = |value: &T| {
            Value::from(
                choices
                    .iter()
                    .find(|(_, v)| v == value)
                    .map_or("", |(name, _)| *name),
            )
        };
        self.value(key, default.and_then(named), choices[0].1, read, show)
    }

    /// Texts.
    #[must_use]
    pub fn texts(&self, key: &str, default: Option<&[&str]>) -> Vec<String> {
        let read = |v: &Value| {
            let list = v.as_array().ok_or_else(|| not(v, "a list of texts"))?;
            let texts = list.iter().map(|t| t.as_str().map(str::to_owned));
            texts
                .collect::<Option<Vec<_>>>()
                .ok_or_else(|| "holds something that is no text".into())
        };
        let default = default.map(|d| d.iter().map(|t| (*t).to_owned()).collect());
        let show =
            |texts: &Vec<String>| Value::Array(texts.iter().map(String::as_str).collect::<Array>());
        self.value(key, default, vec![], read, show)
    }

    /// A table within this one, which may be missing.
    #[must_use]
    pub fn section(&self, key: &str) -> Section<'a> {
        let table = self.item(key).and_then(|item| {
            let table = item.as_table_like();
            if table.is_none() {
                self.fault(key, "is a value, not a table");
            }
            table
        });
        Section::over(self.source, self.path(key), table, self.line_of(key))
    }

    /// The same, `None` where the file does not have it.
    #[must_use]
    pub fn section_if(&self, key: &str) -> Option<Section<'a>> {
        self.has(key).then(|| self.section(key))
    }

    /// The tables of a list, which may be missing.
    #[must_use]
    pub fn list(&self, key: &str) -> Vec<Section<'a>> {
        let Some(item) = self.item(key) else {
            return vec![];
        };
        let path = self.path(key);
        let one = |(n, table): (usize, &'a dyn TableLike), at: Option<std::ops::Range<usize>>| {
            let line = at.map_or(self.line, |s| self.source.line(s.start));
            Section::over(self.source, format!("{path}.{n}"), Some(table), line)
        };
        match item {
            Item::ArrayOfTables(list) => list
                .iter()
                .enumerate()
                .map(|(n, t)| one((n, t), t.span()))
                .collect(),
            Item::Value(Value::Array(list)) if list.iter().all(Value::is_inline_table) => {
                let tables = list
                    .iter()
                    .filter_map(|v| Some((v.as_inline_table()?, v.span())));
                tables
                    .enumerate()
                    .map(|(n, (t, span))| one((n, t), span))
                    .collect()
            }
            _ => {
                self.fault(key, "is no list of tables");
                vec![]
            }
        }
    }

    /// Says of every key that nothing asked for that it is not known, and gives back all that was read and filled in.
    #[must_use]
    pub fn done(self) -> Table {
        let seen = self.seen.into_inner();
        for (key, _) in self
            .table
            .into_iter()
            .flat_map(TableLike::iter)
            .filter(|(k, _)| !seen.contains(*k))
        {
            let span = self
                .table
                .and_then(|t| t.key(key))
                .and_then(toml_edit::Key::span);
            let line = span.map_or(self.line, |s| self.source.line(s.start));
            let near = seen
                .iter()
                .map(|known| (levenshtein(known, key), known))
                .min();
            let near = near.filter(|(letters, _)| *letters <= 3);
            let hint = near.map_or(String::new(), |(_, n)| format!("; is {n} meant?"));
            let path = if self.path.is_empty() {
                key.to_owned()
            } else {
                format!("{}.{key}", self.path)
            };
            self.source.fault(line, path, format!("is not known{hint}"));
        }
        self.shown.into_inner()
    }

    /// Puts what a table within this one came to.
    pub fn put(&self, key: &str, table: Table) {
        self.shown.borrow_mut().insert(key, Item::Table(table));
    }

    /// Puts what the tables of a list came to.
    pub fn put_list(&self, key: &str, tables: Vec<Table>) {
        if !tables.is_empty() {
            let list: ArrayOfTables = tables.into_iter().collect();
            self.shown
                .borrow_mut()
                .insert(key, Item::ArrayOfTables(list));
        }
    }
}

/// A number; a whole one will do.
#[allow(clippy::cast_precision_loss)]
fn number(value: &Value) -> Result<f64, String> {
    let number = value.as_float().or(value.as_integer().map(|n| n as f64));
    number.ok_or_else(|| not(value, "a number"))
}

fn not(value: &Value, wanted: &str) -> String {
    format!("is {}, not {wanted}", value.to_string().trim())
}
