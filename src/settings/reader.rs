//! Reads TOML files strictly and reports all their faults together.
//!
//! Each fault keeps its place. A key that nobody asked for is a fault too, since
//! a misspelt key would otherwise be ignored silently.

use crate::error::{Error, Finding, Result};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A TOML document that collects the findings made while it is read.
#[derive(Debug)]
pub struct Document {
    file: PathBuf,
    text: String,
    findings: RefCell<Vec<(usize, String)>>,
}

impl Document {
    /// Reads the document's text from a file.
    pub fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::File(file.to_owned(), err))?;
        Ok(Self::new(file, &text))
    }

    /// Makes a document of a text, with the file's name for its findings.
    pub fn new(file: &Path, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
            findings: RefCell::default(),
        }
    }

    /// Returns the document's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Reads the whole document and returns either its value or all of its faults.
    pub fn read<T>(&self, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Result<T> {
        let value = match DeTable::parse(&self.text) {
            Ok(table) => {
                let span = table.span();
                let section = Section::new(self, table.get_ref(), span);
                let value = read(&section);
                section.refuse_unknown_keys();
                value
            }
            Err(err) => {
                let offset = err.span().map_or(0, |span| span.start);
                self.add(offset, err.message().to_owned());
                None
            }
        };
        let findings = self.take_findings();
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(Error::Faulty(findings)),
        }
    }

    /// Adds a finding at a byte offset of the text.
    pub fn add(&self, offset: usize, message: String) {
        self.findings.borrow_mut().push((offset, message));
    }

    fn take_findings(&self) -> Vec<Finding> {
        let mut findings = self.findings.take();
        findings.sort_by_key(|(offset, _)| *offset);
        let place = |(offset, message): (usize, String)| {
            Finding::at(&self.file, &self.text, offset, message)
        };
        findings.into_iter().map(place).collect()
    }
}

/// One table of a document, which remembers the keys that were asked for.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    fn new(document: &'a Document, table: &'a DeTable<'a>, span: Range<usize>) -> Self {
        Self {
            document,
            table,
            span,
            known: RefCell::default(),
        }
    }

    /// Returns where the table begins, for findings that concern it as a whole.
    pub fn offset(&self) -> usize {
        self.span.start
    }

    /// Returns where a key's value stands, or the table's start if the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.table
            .get(key)
            .map_or(self.span.start, |value| value.span().start)
    }

    /// Adds a finding at a key's value.
    pub fn fault(&self, key: &str, message: impl Into<String>) {
        self.document.add(self.offset_of(key), message.into());
    }

    fn lookup(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.borrow_mut().insert(key);
        self.table.get(key)
    }

    /// Tells whether a key is present.
    pub fn has(&self, key: &'static str) -> bool {
        self.lookup(key).is_some()
    }

    fn missing<T>(&self, key: &str) -> Option<T> {
        self.document
            .add(self.span.start, format!("the key `{key}` is missing"));
        None
    }

    /// Reads a text that may be absent.
    pub fn optional_text(&self, key: &'static str) -> Option<String> {
        let value = self.lookup(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong_type(value, key, "a text"),
        }
    }

    /// Reads a text; its absence is a fault.
    pub fn text(&self, key: &'static str) -> Option<String> {
        if !self.has(key) {
            return self.missing(key);
        }
        self.optional_text(key)
    }

    /// Reads a text and converts it; a text that does not convert is a fault.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(key)?;
        let value = parse(&text);
        if value.is_none() {
            self.fault(
                key,
                format!("`{key}` is `{text}`, but {expected} is expected"),
            );
        }
        value
    }

    /// Reads a converted text that may be absent.
    pub fn optional_parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.has(key) {
            self.parsed(key, expected, parse)
        } else {
            None
        }
    }

    /// Reads a whole number within bounds, or the default if it is absent.
    pub fn number(&self, key: &'static str, default: u64, bounds: Range<u64>) -> Option<u64> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                u64::from_str_radix(&number.as_str().replace('_', ""), number.radix()).ok()
            }
            _ => return self.wrong_type(value, key, "a whole number"),
        };
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let (least, most) = (bounds.start, bounds.end - 1);
            self.fault(key, format!("`{key}` must lie between {least} and {most}"));
        }
        number
    }

    /// Reads a duration in milliseconds.
    pub fn millis(
        &self,
        key: &'static str,
        default: Duration,
        bounds: Range<u64>,
    ) -> Option<Duration> {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.number(key, default, bounds).map(Duration::from_millis)
    }

    /// Reads a fraction between zero and one, or the default if it is absent.
    pub fn fraction(&self, key: &'static str, default: f64) -> Option<f64> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        let number: Option<f64> = match value.get_ref() {
            DeValue::Float(number) => number.as_str().parse().ok(),
            DeValue::Integer(number) => number.as_str().parse().ok(),
            _ => return self.wrong_type(value, key, "a number"),
        };
        let number = number.filter(|number| (0.0..=1.0).contains(number));
        if number.is_none() {
            self.fault(key, format!("`{key}` must lie between 0 and 1"));
        }
        number
    }

    /// Reads a truth value, or the default if it is absent.
    pub fn truth(&self, key: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        match value.get_ref() {
            DeValue::Boolean(truth) => Some(*truth),
            _ => self.wrong_type(value, key, "true or false"),
        }
    }

    /// Reads a list of texts, each with its place; an absent list is empty.
    pub fn texts(&self, key: &'static str) -> Vec<(usize, String)> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            let _: Option<()> = self.wrong_type(value, key, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => texts.push((item.span().start, text.to_string())),
                _ => {
                    let _: Option<()> = self.wrong_type(item, key, "a list of texts");
                }
            }
        }
        texts
    }

    /// Reads a list of converted texts; those that do not convert are faults.
    pub fn parsed_list<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (offset, text) in self.texts(key) {
            match parse(&text) {
                Some(value) => values.push(value),
                None => {
                    self.document
                        .add(offset, format!("`{text}` stands where {expected} should"));
                }
            }
        }
        values
    }

    /// Reads a sub-table; its absence is a fault.
    pub fn section<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            return self.missing(key);
        }
        self.optional_section(key, read)
    }

    /// Reads a sub-table that may be absent.
    pub fn optional_section<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.lookup(key)?;
        match value.get_ref() {
            DeValue::Table(table) => self.read_table(table, value.span(), read),
            _ => self.wrong_type(value, key, "a table"),
        }
    }

    /// Reads an array of tables; an absent one is empty.
    pub fn sections<T>(
        &self,
        key: &'static str,
        mut read: impl FnMut(&Section<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            let _: Option<()> = self.wrong_type(value, key, "an array of tables");
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    values.extend(self.read_table(table, item.span(), &mut read));
                }
                _ => {
                    let _: Option<()> = self.wrong_type(item, key, "an array of tables");
                }
            }
        }
        values
    }

    fn read_table<T>(
        &self,
        table: &DeTable<'_>,
        span: Range<usize>,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let section = Section::new(self.document, table, span);
        let value = read(&section);
        section.refuse_unknown_keys();
        value
    }

    fn wrong_type<T>(&self, value: &Spanned<DeValue<'_>>, key: &str, expected: &str) -> Option<T> {
        let found = value.get_ref().type_str();
        let message = format!("`{key}` must be {expected}, but a {found} stands here");
        self.document.add(value.span().start, message);
        None
    }

    fn refuse_unknown_keys(&self) {
        for key in self.table.keys() {
            if !self.known.borrow().contains(key.get_ref().as_ref()) {
                self.document
                    .add(key.span().start, format!("unknown key `{}`", key.get_ref()));
            }
        }
    }
}
