//! Strict reader of TOML files that reports all faults of a file together.
//!
//! Each finding carries its position. A key that is never requested is a fault too, since a
//! misspelt key would otherwise be ignored silently.

use crate::error::{Error, Finding, Result};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// TOML document that collects the findings made while it is read.
#[derive(Debug)]
pub struct Document {
    file: PathBuf,
    text: String,
    findings: RefCell<Vec<(usize, String)>>,
}

impl Document {
    /// Loads a document from a file.
    pub fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::File(file.to_owned(), err))?;
        Ok(Self::new(file, &text))
    }

    /// Creates a document from a text; findings carry the file's name.
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

    /// Reads the whole document, and returns its value or all its faults.
    pub fn read<T>(&self, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Result<T> {
        let value = match DeTable::parse(&self.text) {
            Ok(table) => {
                let span = table.span();
                let section = Section::new(self, table.get_ref(), span);
                let value = read(&section);
                section.report_unknown_keys();
                value
            }
            Err(err) => {
                let offset = err.span().map_or(0, |span| span.start);
                self.add_finding(offset, err.message().to_owned());
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
    pub fn add_finding(&self, offset: usize, message: String) {
        self.findings.borrow_mut().push((offset, message));
    }

    fn take_findings(&self) -> Vec<Finding> {
        let mut findings = self.findings.take();
        findings.sort_by_key(|(offset, _)| *offset);
        let to_finding = |(offset, message): (usize, String)| {
            Finding::at(&self.file, &self.text, offset, message)
        };
        findings.into_iter().map(to_finding).collect()
    }
}

/// Table of a document, which records the keys that are requested.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    requested_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    fn new(document: &'a Document, table: &'a DeTable<'a>, span: Range<usize>) -> Self {
        Self {
            document,
            table,
            span,
            requested_keys: RefCell::default(),
        }
    }

    /// Returns the byte offset of the table, for findings about the table as a whole.
    pub fn offset(&self) -> usize {
        self.span.start
    }

    /// Returns the byte offset of a key's value, or of the table if the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.table
            .get(key)
            .map_or(self.span.start, |value| value.span().start)
    }

    /// Adds a finding about a key, at its value.
    pub fn add_finding(&self, key: &str, message: impl Into<String>) {
        self.document
            .add_finding(self.offset_of(key), message.into());
    }

    fn lookup(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.requested_keys.borrow_mut().insert(key);
        self.table.get(key)
    }

    /// Returns whether a key is present.
    pub fn has(&self, key: &'static str) -> bool {
        self.lookup(key).is_some()
    }

    fn report_missing<T>(&self, key: &str) -> Option<T> {
        self.document
            .add_finding(self.span.start, format!("the key `{key}` is missing"));
        None
    }

    /// Reads an optional string.
    pub fn optional_string(&self, key: &'static str) -> Option<String> {
        let value = self.lookup(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.report_wrong_type(value, key, "a string"),
        }
    }

    /// Reads a required string.
    pub fn string(&self, key: &'static str) -> Option<String> {
        if !self.has(key) {
            return self.report_missing(key);
        }
        self.optional_string(key)
    }

    /// Reads a required string and parses it; a string that cannot be parsed is a fault.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.string(key)?;
        let value = parse(&text);
        if value.is_none() {
            self.add_finding(key, format!("`{key}` is `{text}`, expected {expected}"));
        }
        value
    }

    /// Reads an optional string and parses it.
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

    /// Reads an integer within bounds, or returns the default if it is absent.
    pub fn number(&self, key: &'static str, default: u64, bounds: Range<u64>) -> Option<u64> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                u64::from_str_radix(&number.as_str().replace('_', ""), number.radix()).ok()
            }
            _ => return self.report_wrong_type(value, key, "an integer"),
        };
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let (min, max) = (bounds.start, bounds.end - 1);
            self.add_finding(key, format!("`{key}` must be between {min} and {max}"));
        }
        number
    }

    /// Reads a duration in milliseconds within bounds, or returns the default if it is absent.
    pub fn millis(
        &self,
        key: &'static str,
        default: Duration,
        bounds: Range<u64>,
    ) -> Option<Duration> {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.number(key, default, bounds).map(Duration::from_millis)
    }

    /// Reads a number between zero and one, or returns the default if it is absent.
    pub fn fraction(&self, key: &'static str, default: f64) -> Option<f64> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        let number: Option<f64> = match value.get_ref() {
            DeValue::Float(number) => number.as_str().parse().ok(),
            DeValue::Integer(number) => number.as_str().parse().ok(),
            _ => return self.report_wrong_type(value, key, "a number"),
        };
        let number = number.filter(|number| (0.0..=1.0).contains(number));
        if number.is_none() {
            self.add_finding(key, format!("`{key}` must be between 0 and 1"));
        }
        number
    }

    /// Reads a boolean, or returns the default if it is absent.
    pub fn boolean(&self, key: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.lookup(key) else {
            return Some(default);
        };
        match value.get_ref() {
            DeValue::Boolean(value) => Some(*value),
            _ => self.report_wrong_type(value, key, "a boolean"),
        }
    }

    /// Reads an array of strings, each with its byte offset; an absent array is empty.
    pub fn strings(&self, key: &'static str) -> Vec<(usize, String)> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            let _: Option<()> = self.report_wrong_type(value, key, "an array of strings");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => strings.push((item.span().start, text.to_string())),
                _ => {
                    let _: Option<()> = self.report_wrong_type(item, key, "an array of strings");
                }
            }
        }
        strings
    }

    /// Reads an array of strings and parses them; strings that cannot be parsed are faults.
    pub fn parsed_list<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (offset, text) in self.strings(key) {
            match parse(&text) {
                Some(value) => values.push(value),
                None => {
                    self.document
                        .add_finding(offset, format!("`{text}` is invalid, expected {expected}"));
                }
            }
        }
        values
    }

    /// Reads a required sub-table.
    pub fn section<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            return self.report_missing(key);
        }
        self.optional_section(key, read)
    }

    /// Reads an optional sub-table.
    pub fn optional_section<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.lookup(key)?;
        match value.get_ref() {
            DeValue::Table(table) => self.read_table(table, value.span(), read),
            _ => self.report_wrong_type(value, key, "a table"),
        }
    }

    /// Reads an array of tables; an absent array is empty.
    pub fn sections<T>(
        &self,
        key: &'static str,
        mut read: impl FnMut(&Section<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            let _: Option<()> = self.report_wrong_type(value, key, "an array of tables");
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    values.extend(self.read_table(table, item.span(), &mut read));
                }
                _ => {
                    let _: Option<()> = self.report_wrong_type(item, key, "an array of tables");
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
        section.report_unknown_keys();
        value
    }

    fn report_wrong_type<T>(
        &self,
        value: &Spanned<DeValue<'_>>,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let found = value.get_ref().type_str();
        let message = format!("`{key}` must be {expected}, found {found}");
        self.document.add_finding(value.span().start, message);
        None
    }

    fn report_unknown_keys(&self) {
        for key in self.table.keys() {
            if !self
                .requested_keys
                .borrow()
                .contains(key.get_ref().as_ref())
            {
                self.document
                    .add_finding(key.span().start, format!("unknown key `{}`", key.get_ref()));
            }
        }
    }
}
