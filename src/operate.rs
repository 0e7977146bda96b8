//! The operators' commands.

mod box_logs;
mod keygen;
mod report;

use crate::bundle::{Bundle, digest_of};
use crate::change::{Action, ChangeEntry};
use crate::change_log::ChangeLog;
use crate::cli::{Command, Options};
use crate::clock::Now;
use crate::error::{Error, Result};
use crate::keys::OperatorKey;
use crate::settings::operator::OperatorSettings;
use crate::store::etcd::EtcdStore;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// Runs a command and returns the text to print.
pub async fn run(options: &Options) -> Result<String> {
    let load = || OperatorSettings::load(&options.settings);
    let output = match &options.command {
        Command::Help => return Ok(crate::cli::HELP.to_owned()),
        Command::Version => return Ok(format!("gatepier {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Check(files) => check_bundles(files)?,
        Command::Keygen(keygen) => keygen::run(keygen)?,
        Command::Propose(file) => propose(&load()?, file).await?,
        Command::Sign(file) => sign(&load()?, file).await?,
        Command::Roll(version, percent) => {
            let action = Action::Roll {
                version: version.clone(),
                percent: *percent,
            };
            append_change(&load()?, action).await?
        }
        Command::Withdraw(version) => {
            append_change(
                &load()?,
                Action::Withdraw {
                    version: version.clone(),
                },
            )
            .await?
        }
        Command::Lift(version) => {
            append_change(
                &load()?,
                Action::Lift {
                    version: version.clone(),
                },
            )
            .await?
        }
        Command::Status => report::status(&load()?).await?,
        Command::Audit => report::audit(&load()?).await?,
        Command::Ledger => report::ledger(&load()?).await?,
        Command::Explain { id, logs } if logs.is_empty() => report::explain(&load()?, id).await?,
        Command::Explain { id, logs } => box_logs::explain(id, logs)?,
        Command::Demo { .. } => {
            return Err(Error::Usage("the demo runs separately".to_owned()));
        }
    };
    Ok(output.render(options.json))
}

/// A command's output: lines of text, or a JSON value for scripts.
#[derive(Debug)]
struct Output {
    lines: Vec<String>,
    value: Value,
}

impl Output {
    fn render(&self, as_json: bool) -> String {
        if as_json {
            format!("{}\n", self.value)
        } else {
            format!("{}\n", self.lines.join("\n"))
        }
    }
}

fn check_bundles(files: &[PathBuf]) -> Result<Output> {
    let mut findings = Vec::new();
    let mut lines = Vec::new();
    for file in files {
        match Bundle::load(file) {
            Ok((bundle, text)) => lines.push(format!(
                "{}: no faults found; partner {}, digest {:.12}",
                file.display(),
                bundle.partner,
                digest_of(&text)
            )),
            Err(Error::Faulty(bundle_findings)) => findings.extend(bundle_findings),
            Err(err) => return Err(err),
        }
    }
    if !findings.is_empty() {
        return Err(Error::Faulty(findings));
    }
    Ok(Output {
        value: json!({ "checked": files.len(), "faults": 0 }),
        lines,
    })
}

/// Reads a bundle and returns its text; fails if it belongs to another partner.
fn load_own_bundle(settings: &OperatorSettings, file: &Path) -> Result<String> {
    let (bundle, text) = Bundle::load(file)?;
    if bundle.partner != settings.partner {
        return Err(Error::Refused(format!(
            "the bundle is of partner `{}`, but the operator settings are of partner `{}`",
            bundle.partner, settings.partner
        )));
    }
    Ok(text)
}

async fn propose(settings: &OperatorSettings, file: &Path) -> Result<Output> {
    let text = load_own_bundle(settings, file)?;
    let digest = digest_of(&text);
    let key = OperatorKey::load(&settings.key)?;
    let store = EtcdStore::new(settings.store);
    let log = ChangeLog::new(&store, &settings.partner, &settings.operators);
    log.store_bundle(&digest, &text).await?;
    let signature = key.sign(digest.as_bytes());
    let entry = log
        .append(Action::Propose { digest, signature }, &key, Now::read())
        .await?;
    Ok(change_output(&entry))
}

async fn sign(settings: &OperatorSettings, file: &Path) -> Result<Output> {
    let digest = digest_of(&load_own_bundle(settings, file)?);
    let key = OperatorKey::load(&settings.key)?;
    let signature = key.sign(digest.as_bytes());
    append_signed_by(settings, Action::Sign { digest, signature }, &key).await
}

async fn append_change(settings: &OperatorSettings, action: Action) -> Result<Output> {
    let key = OperatorKey::load(&settings.key)?;
    append_signed_by(settings, action, &key).await
}

async fn append_signed_by(
    settings: &OperatorSettings,
    action: Action,
    key: &OperatorKey,
) -> Result<Output> {
    let store = EtcdStore::new(settings.store);
    let log = ChangeLog::new(&store, &settings.partner, &settings.operators);
    let entry = log.append(action, key, Now::read()).await?;
    Ok(change_output(&entry))
}

fn change_output(entry: &ChangeEntry) -> Output {
    let line = format!(
        "generation {}: {} by {}",
        entry.generation, entry.action, entry.operator
    );
    let value = json!({
        "generation": entry.generation,
        "operation": entry.operation,
        "action": entry.action,
        "operator": entry.operator,
    });
    Output {
        lines: vec![line],
        value,
    }
}
