//! Reconstructs what happened to a request from the logs of boxes on the users' platform.
//!
//! Boxes store nothing, so the only record of a request is the log that they wrote to standard
//! output. The logs of several boxes can be read together, and logs of older builds must remain
//! readable: the keys and texts matched here are those that boxes write. See
//! `docs/OPERATIONS.md`.

use super::Output;
use crate::error::{Error, Result};
use crate::gateway::answer::refusal::RefusalReason;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::io::Read as _;
use std::path::{Path, PathBuf};

/// The file name that denotes standard input.
const STDIN_FILE_NAME: &str = "-";
/// The maximum number of lines about the box itself that are shown from before the request.
const MAX_PRECEDING_BOX_LINES: usize = 6;

/// One line of a box's log.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    #[serde(default)]
    timestamp: String,
    #[serde(default)]
    kv: Map<String, Value>,
    #[serde(default)]
    text: String,
    /// The name of the log file that contains the line.
    #[serde(skip)]
    file: String,
}

impl LogLine {
    fn request_id(&self) -> Option<&str> {
        self.kv.get("request").and_then(Value::as_str)
    }

    /// Returns whether the line reports an event of the box itself that can affect requests.
    fn is_box_event(&self) -> bool {
        const BOX_EVENT_PREFIXES: [&str; 8] = [
            "the store",
            "started",
            "stopping",
            "stopped",
            "settings",
            "registered",
            "version found bad",
            "roll-out taken on",
        ];
        let is_prefix = |prefix: &&str| self.text.starts_with(*prefix);
        self.request_id().is_none() && BOX_EVENT_PREFIXES.iter().any(is_prefix)
    }

    fn render(&self) -> String {
        let inputs: Vec<String> = self
            .kv
            .iter()
            .filter(|(name, value)| *name != "request" && *value != "")
            .map(|(name, value)| format!("{name}={}", to_plain_text(value)))
            .collect();
        let (at, file, text) = (&self.timestamp, &self.file, &self.text);
        format!("  {at}  {file}  {text}  {}", inputs.join(" "))
    }
}

/// Returns a value as text, a string without its quotes.
fn to_plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Reads logs and returns a request's lines, the box's events before it, and its outcome.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<Output> {
    let mut lines = Vec::new();
    for file in logs {
        lines.extend(parse_lines(&read_file(file)?, file));
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.request_id() == Some(id))
        .collect();
    let Some(first) = request_lines.first() else {
        return Err(Error::Refused(format!(
            "no log line mentions request `{id}`"
        )));
    };
    let preceding = preceding_box_lines(&lines, first);
    let outcome = describe_outcome(&request_lines);
    let mut output_lines = vec![format!("request {id}")];
    output_lines.extend(request_lines.iter().map(|line| line.render()));
    if !preceding.is_empty() {
        output_lines.push("events of the box before the request".to_owned());
        output_lines.extend(preceding.iter().map(|line| line.render()));
    }
    output_lines.push(format!("outcome: {outcome}"));
    let line_values: Vec<Value> = request_lines
        .iter()
        .map(|line| json!({"at": line.timestamp, "file": line.file, "text": line.text, "inputs": line.kv}))
        .collect();
    Ok(Output {
        lines: output_lines,
        value: json!({"request": id, "lines": line_values, "outcome": outcome}),
    })
}

fn read_file(file: &Path) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let result = match file.as_os_str() == STDIN_FILE_NAME {
        true => std::io::stdin().read_to_end(&mut bytes),
        false => std::fs::File::open(file).and_then(|mut f| f.read_to_end(&mut bytes)),
    };
    result.map_err(|err| Error::File(file.to_owned(), err))?;
    Ok(bytes)
}

/// Parses log lines, each of which contains a JSON object.
///
/// Text before the object is skipped, such as the prefix that a log collector adds. Lines that
/// cannot be parsed are skipped too, since a process may have ended in the middle of a line.
fn parse_lines(bytes: &[u8], file: &Path) -> Vec<LogLine> {
    let name = file
        .file_name()
        .unwrap_or(file.as_os_str())
        .to_string_lossy();
    String::from_utf8_lossy(bytes)
        .lines()
        .filter_map(|text| text.find('{').and_then(|start| text.get(start..)))
        .filter_map(|text| serde_json::from_str::<LogLine>(text).ok())
        .map(|line| LogLine {
            file: name.clone().into_owned(),
            ..line
        })
        .collect()
}

/// Returns the last events of the box before a request's first line, from the same file.
fn preceding_box_lines<'a>(lines: &'a [LogLine], first: &LogLine) -> Vec<&'a LogLine> {
    let mut box_lines: Vec<&LogLine> = lines
        .iter()
        .take_while(|line| line.timestamp <= first.timestamp)
        .filter(|line| line.file == first.file && line.is_box_event())
        .collect();
    box_lines.split_off(box_lines.len().saturating_sub(MAX_PRECEDING_BOX_LINES))
}

/// Describes how a request ended, and whether it may have run if its lines state this.
fn describe_outcome(request_lines: &[&LogLine]) -> String {
    let Some(last) = request_lines.iter().rev().find(|line| is_final(line)) else {
        return "not known: no final line; its caller left, the process ended, or the log is cut"
            .to_owned();
    };
    let value = |name: &str| last.kv.get(name).map(to_plain_text).unwrap_or_default();
    match last.text.as_str() {
        "refused" => {
            let ran = match last.kv.get("may_have_run").and_then(Value::as_bool) {
                Some(true) => "it may have run",
                _ => "it ran nowhere",
            };
            let reason = value("reason");
            let meaning = RefusalReason::from_name(&reason).map_or("", RefusalReason::explanation);
            format!(
                "refused, {reason}: {meaning}; {ran}; after {} ms",
                value("took_ms")
            )
        }
        "passed on" => {
            let (status, took_ms, tries) = (value("status"), value("took_ms"), value("tries"));
            format!("answered {status} after {took_ms} ms and {tries} tries")
        }
        "stream ended" => {
            let (events, pause_ms) = (value("events"), value("longest_pause_ms"));
            format!("whole stream of {events} events, longest pause {pause_ms} ms")
        }
        cut => format!("cut: {cut}"),
    }
}

/// Returns whether a line reports the end of a request.
fn is_final(line: &LogLine) -> bool {
    let final_texts = ["refused", "passed on", "stream ended"];
    final_texts.contains(&line.text.as_str()) || line.text.starts_with("stream cut")
}
