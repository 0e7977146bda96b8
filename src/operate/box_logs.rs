//! Tells a request's story from the log lines of boxes on the users' platform.
//!
//! Boxes keep nothing, so what became of a request stands only in what they wrote to
//! standard output. Several boxes' logs can be read at once. See `docs/OPERATIONS.md`.

use super::Output;
use crate::error::{Error, Result};
use crate::gateway::answer::refusal::RefusalReason;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::io::Read as _;
use std::path::{Path, PathBuf};

/// Names standard input among the files.
const STANDARD_INPUT: &str = "-";
/// How many lines about the box itself are shown from before a request.
const LINES_AROUND: usize = 6;

/// One line of a box's log.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    #[serde(default)]
    timestamp: String,
    #[serde(default)]
    kv: Map<String, Value>,
    #[serde(default)]
    text: String,
    /// The file that holds it.
    #[serde(skip)]
    file: String,
}

impl Line {
    fn request(&self) -> Option<&str> {
        self.kv.get("request").and_then(Value::as_str)
    }

    /// Tells whether the line is about the box itself and may decide about requests.
    fn is_about_the_box(&self) -> bool {
        const BEGINNINGS: [&str; 8] = [
            "the store",
            "started",
            "stopping",
            "stopped",
            "settings",
            "registered",
            "version found bad",
            "roll-out taken on",
        ];
        let begins = |beginning: &&str| self.text.starts_with(*beginning);
        self.request().is_none() && BEGINNINGS.iter().any(begins)
    }

    fn write(&self) -> String {
        let inputs: Vec<String> = self
            .kv
            .iter()
            .filter(|(name, value)| *name != "request" && *value != "")
            .map(|(name, value)| format!("{name}={}", plain(value)))
            .collect();
        let (at, file, text) = (&self.timestamp, &self.file, &self.text);
        format!("  {at}  {file}  {text}  {}", inputs.join(" "))
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Reads logs and tells what became of a request.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<Output> {
    let mut lines = Vec::new();
    for file in logs {
        lines.extend(parse(&read(file)?, file));
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let story: Vec<&Line> = lines
        .iter()
        .filter(|line| line.request() == Some(id))
        .collect();
    let Some(first) = story.first() else {
        return Err(Error::Refused(format!("no line names a request `{id}`")));
    };
    let around = lines_around(&lines, first);
    let outcome = outcome(&story);
    let mut told = vec![format!("request {id}")];
    told.extend(story.iter().map(|line| line.write()));
    if !around.is_empty() {
        told.push("the box before it".to_owned());
        told.extend(around.iter().map(|line| line.write()));
    }
    told.push(format!("outcome: {outcome}"));
    let values: Vec<Value> = story
        .iter()
        .map(|line| json!({"at": line.timestamp, "file": line.file, "text": line.text, "inputs": line.kv}))
        .collect();
    Ok(Output {
        lines: told,
        value: json!({"request": id, "lines": values, "outcome": outcome}),
    })
}

fn read(file: &Path) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let outcome = match file.as_os_str() == STANDARD_INPUT {
        true => std::io::stdin().read_to_end(&mut bytes),
        false => std::fs::File::open(file).and_then(|mut f| f.read_to_end(&mut bytes)),
    };
    outcome.map_err(|err| Error::File(file.to_owned(), err))?;
    Ok(bytes)
}

/// Reads lines; what stands before an object, such as a collector's own prefix, and lines
/// that are none are passed over, since a process may have ended in the middle of one.
fn parse(bytes: &[u8], file: &Path) -> Vec<Line> {
    let name = file
        .file_name()
        .unwrap_or(file.as_os_str())
        .to_string_lossy();
    String::from_utf8_lossy(bytes)
        .lines()
        .filter_map(|text| text.find('{').and_then(|start| text.get(start..)))
        .filter_map(|text| serde_json::from_str::<Line>(text).ok())
        .map(|line| Line {
            file: name.clone().into_owned(),
            ..line
        })
        .collect()
}

/// Returns the last lines about the box itself from before a request.
fn lines_around<'a>(lines: &'a [Line], first: &Line) -> Vec<&'a Line> {
    let mut before: Vec<&Line> = lines
        .iter()
        .take_while(|line| line.timestamp <= first.timestamp)
        .filter(|line| line.file == first.file && line.is_about_the_box())
        .collect();
    before.split_off(before.len().saturating_sub(LINES_AROUND))
}

/// Says how a request ended, and what its lines leave open.
fn outcome(story: &[&Line]) -> String {
    let Some(last) = story.iter().rev().find(|line| ends(line)) else {
        return "not known: no final line; its caller left, the process ended, or the log is cut"
            .to_owned();
    };
    let text = |name: &str| last.kv.get(name).map(plain).unwrap_or_default();
    match last.text.as_str() {
        "refused" => {
            let ran = match last.kv.get("may_have_run").and_then(Value::as_bool) {
                Some(true) => "it may have run",
                _ => "it ran nowhere",
            };
            let reason = text("reason");
            let meaning = RefusalReason::from_name(&reason).map_or("", RefusalReason::explanation);
            format!(
                "refused, {reason}: {meaning}; {ran}; after {} ms",
                text("took_ms")
            )
        }
        "passed on" => {
            let (status, took, tries) = (text("status"), text("took_ms"), text("tries"));
            format!("answered {status} after {took} ms and {tries} tries")
        }
        "stream ended" => {
            let (events, pause) = (text("events"), text("longest_pause_ms"));
            format!("whole stream of {events} events, longest pause {pause} ms")
        }
        cut => format!("cut: {cut}"),
    }
}

fn ends(line: &Line) -> bool {
    let finals = ["refused", "passed on", "stream ended"];
    finals.contains(&line.text.as_str()) || line.text.starts_with("stream cut")
}
