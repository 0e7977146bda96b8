//! Bundles: a partner's configuration of models, cascades, organisations and services.
//!
//! A bundle is written in TOML, validated strictly and addressed by the digest of its text, so that
//! a sign-off refers to exactly the text that was signed. See `docs/design/changes.md`.

use crate::clock::WallTime;
use crate::error::Result;
use crate::name::{VersionName, is_plain_name};
use crate::settings::reader::{Document, Section};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Upper bound of the size of a bundle's text; the store accepts values of up to a megabyte.
pub const MAX_BUNDLE_BYTES: usize = 512 * 1024;

const NAME_EXPECTED: &str = "a name of letters, digits, `-`, `_` and `.`";
const VERSION_EXPECTED: &str = "a version written as model/version";
const DEFAULT_QUALITY_FRACTION: f64 = 0.9;
const MAX_COST_MICROS: u64 = 1_000_000_000;

/// One partner's models, cascades and services, and what its organisations may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The partner whose operators wrote the bundle.
    pub partner: String,
    /// The models by name.
    pub models: BTreeMap<String, Model>,
    /// The cascades by name.
    pub cascades: BTreeMap<String, Cascade>,
    /// The organisations by name.
    pub organisations: BTreeMap<String, Organisation>,
    /// The plain services by name.
    pub services: BTreeMap<String, Service>,
}

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The version that serves unless a roll-out selects another one.
    pub incumbent: String,
    /// The versions by name.
    pub versions: BTreeMap<String, Version>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Price of a thousand tokens in millionths of a credit.
    pub cost_micros: u64,
    /// Time from which the version may serve; none means always.
    pub enters: Option<WallTime>,
    /// Time from which the version may no longer serve; none means never.
    pub leaves: Option<WallTime>,
}

impl Version {
    /// Returns whether the version's dates allow it to serve at a given time.
    pub fn is_in_service(&self, at: WallTime) -> bool {
        self.enters.is_none_or(|enters| enters <= at)
            && self.leaves.is_none_or(|leaves| at < leaves)
    }
}

/// How a cascade decides whether a cheap model's answers are good enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QualityGate {
    /// Each answer of a cheaper model is withheld until it has been rated.
    Inline,
    /// Answers are streamed at once; ratings of a sample determine the first step of later
    /// requests.
    Learn,
}

/// A sequence of models, from a cheap one to more expensive ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cascade {
    /// The models, cheapest first.
    pub steps: Vec<String>,
    /// How the cascade decides whether an answer is good enough.
    pub gate: QualityGate,
    /// Fraction of answers that has to be rated good.
    pub quality: f64,
    /// Zero-based index of the first step while there are too few ratings.
    pub default_step: usize,
}

/// The permissions and the share of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The versions that may serve the organisation's requests.
    pub allow: BTreeSet<VersionName>,
    /// The cascades that the organisation may call.
    pub cascades: BTreeSet<String>,
    /// Guaranteed fraction of the capacity.
    pub share: f64,
}

/// A service behind the router that is not a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The HTTP methods whose requests may be retried.
    pub repeatable: BTreeSet<String>,
    /// The HTTP methods whose requests are billed.
    pub billed: BTreeSet<String>,
    /// Price of a billed request in millionths of a credit.
    pub cost_micros: u64,
}

impl Bundle {
    /// Reads and validates a bundle file; returns the bundle and its text.
    pub fn load(file: &Path) -> Result<(Self, String)> {
        let document = Document::load(file)?;
        let bundle = Self::check(&document)?;
        Ok((bundle, document.text().to_owned()))
    }

    /// Parses and validates a bundle's text from the store or a peer.
    pub fn parse(text: &str) -> Result<Self> {
        Self::check(&Document::new(Path::new("bundle"), text))
    }

    fn check(document: &Document) -> Result<Self> {
        document.read(|root| {
            if document.text().len() > MAX_BUNDLE_BYTES {
                let message = format!("a bundle may have {MAX_BUNDLE_BYTES} bytes at most");
                document.add_finding(0, message);
            }
            let partner = root.parsed("partner", NAME_EXPECTED, plain_name);
            let models = by_name(root.sections("model", read_model));
            let cascades =
                by_name(root.sections("cascade", |cascade| read_cascade(cascade, &models)));
            let organisations = read_organisations(root, &models, &cascades);
            let services = by_name(root.sections("service", read_service));
            Some(Self {
                partner: partner?,
                models,
                cascades,
                organisations,
                services,
            })
        })
    }

    /// Returns the description of a version.
    pub fn version(&self, name: &VersionName) -> Option<&Version> {
        self.models.get(&name.model)?.versions.get(&name.version)
    }
}

/// Returns the digest by which a bundle's text is addressed and signed.
pub fn digest_of(text: &str) -> String {
    crate::keys::hex(&Sha256::digest(text.as_bytes()))
}

fn plain_name(text: &str) -> Option<String> {
    is_plain_name(text).then(|| text.to_owned())
}

fn by_name<T>(values: Vec<(String, T)>) -> BTreeMap<String, T> {
    values.into_iter().collect()
}

fn read_model(section: &Section<'_>) -> Option<(String, Model)> {
    let name = section.parsed("name", NAME_EXPECTED, plain_name);
    let versions = by_name(section.sections("version", read_version));
    let incumbent = section.string("incumbent");
    if let Some(incumbent) = &incumbent
        && !versions.contains_key(incumbent)
    {
        section.add_finding(
            "incumbent",
            format!("the model has no version `{incumbent}`"),
        );
    }
    Some((
        name?,
        Model {
            incumbent: incumbent?,
            versions,
        },
    ))
}

fn read_version(section: &Section<'_>) -> Option<(String, Version)> {
    const DATE_EXPECTED: &str = "a date and time such as 2026-12-01T00:00:00Z";
    let name = section.parsed("name", NAME_EXPECTED, plain_name);
    let cost_micros = section.number("cost_micros", 0, 0..MAX_COST_MICROS);
    let enters = section.optional_parsed("enters", DATE_EXPECTED, WallTime::parse);
    let leaves = section.optional_parsed("leaves", DATE_EXPECTED, WallTime::parse);
    if let (Some(enters), Some(leaves)) = (enters, leaves)
        && leaves <= enters
    {
        section.add_finding(
            "leaves",
            format!("the version leaves at {leaves}, before it enters"),
        );
    }
    Some((
        name?,
        Version {
            cost_micros: cost_micros?,
            enters,
            leaves,
        },
    ))
}

fn read_cascade(
    section: &Section<'_>,
    models: &BTreeMap<String, Model>,
) -> Option<(String, Cascade)> {
    let name = section.parsed("name", NAME_EXPECTED, plain_name);
    let steps = section.parsed_list("steps", "a model of this bundle", |step| {
        models.contains_key(step).then(|| step.to_owned())
    });
    if steps.is_empty() {
        section.add_finding("steps", "a cascade needs at least one step");
    }
    let gate = section.parsed("gate", "`inline` or `learn`", |text| match text {
        "inline" => Some(QualityGate::Inline),
        "learn" => Some(QualityGate::Learn),
        _ => None,
    });
    let quality = section.fraction("quality", DEFAULT_QUALITY_FRACTION);
    let step_count = u64::try_from(steps.len().max(1)).unwrap_or(1);
    let default_step = section.number("default_step", 0, 0..step_count);
    let default_step = usize::try_from(default_step?).ok();
    let cascade = Cascade {
        steps,
        gate: gate?,
        quality: quality?,
        default_step: default_step?,
    };
    Some((name?, cascade))
}

fn read_service(section: &Section<'_>) -> Option<(String, Service)> {
    const METHOD_EXPECTED: &str = "a method in capitals";
    let method = |text: &str| {
        let is_method = !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
        is_method.then(|| text.to_owned())
    };
    let name = section.parsed("name", NAME_EXPECTED, plain_name);
    let repeatable = section.parsed_list("repeatable", METHOD_EXPECTED, method);
    let billed = section.parsed_list("billed", METHOD_EXPECTED, method);
    let cost_micros = section.number("cost_micros", 0, 0..MAX_COST_MICROS);
    let service = Service {
        repeatable: repeatable.into_iter().collect(),
        billed: billed.into_iter().collect(),
        cost_micros: cost_micros?,
    };
    Some((name?, service))
}

fn read_organisations(
    root: &Section<'_>,
    models: &BTreeMap<String, Model>,
    cascades: &BTreeMap<String, Cascade>,
) -> BTreeMap<String, Organisation> {
    const SHARE_TOLERANCE: f64 = 1e-9;
    let mut share_sum = 0.0;
    let organisations = root.sections("organisation", |section| {
        let name = section.parsed("name", NAME_EXPECTED, plain_name);
        let allow = read_allowed_versions(section, models);
        let callable = section.parsed_list("cascades", "a cascade of this bundle", |cascade| {
            cascades.contains_key(cascade).then(|| cascade.to_owned())
        });
        for cascade in &callable {
            check_steps_allowed(section, cascade, &cascades[cascade], &allow);
        }
        let share = section.fraction("share", 0.0)?;
        share_sum += share;
        if share_sum > 1.0 + SHARE_TOLERANCE {
            section.add_finding("share", "the shares add up to more than the whole");
        }
        Some((
            name?,
            Organisation {
                allow,
                cascades: callable.into_iter().collect(),
                share,
            },
        ))
    });
    by_name(organisations)
}

fn read_allowed_versions(
    section: &Section<'_>,
    models: &BTreeMap<String, Model>,
) -> BTreeSet<VersionName> {
    let is_known = |name: &VersionName| {
        models
            .get(&name.model)
            .is_some_and(|model| model.versions.contains_key(&name.version))
    };
    let allow = section.parsed_list("allow", VERSION_EXPECTED, VersionName::parse);
    for name in allow.iter().filter(|name| !is_known(name)) {
        section.add_finding("allow", format!("the bundle describes no version `{name}`"));
    }
    allow.into_iter().collect()
}

fn check_steps_allowed(
    section: &Section<'_>,
    name: &str,
    cascade: &Cascade,
    allow: &BTreeSet<VersionName>,
) {
    for step in &cascade.steps {
        if !allow.iter().any(|version| version.model == *step) {
            let message = format!(
                "cascade `{name}` steps to `{step}`, but the organisation allows no version of it"
            );
            section.add_finding("cascades", message);
        }
    }
}
