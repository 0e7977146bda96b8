//! Requests ratings of answers, good or bad, from the platform's rating service.

use super::context::Worker;
use crate::evidence::EvidenceSubject;
use crate::name::VersionName;
use crate::routing::snapshot::Snapshot;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

/// How long an inline gate waits for a rating before it lets the answer pass unrated.
const INLINE_RATING_TIMEOUT: Duration = Duration::from_millis(500);
const SAMPLE_RATING_TIMEOUT: Duration = Duration::from_secs(5);
/// How many percent of the answers are rated for learning.
const SAMPLE_PERCENT: u32 = 10;
const FULL_PERCENT: u32 = 100;

/// The most bytes of an answer that are sent to be rated.
pub const RATED_MAX_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct Rating {
    good: bool,
}

/// Requests a rating: whether an answer is good, or `None` if no rating arrives in time.
pub async fn request_rating(
    worker: &Worker,
    subject: &EvidenceSubject,
    answer: &Bytes,
    time_limit: Duration,
) -> Option<bool> {
    let rater = worker.shared.settings.rater?;
    let rated = &answer[..answer.len().min(RATED_MAX_BYTES)];
    let question = json!({
        "organisation": subject.organisation,
        "version": subject.version.to_string(),
        "answer": String::from_utf8_lossy(rated),
    });
    let url = format!("http://{rater}/v1/rate");
    let call = async {
        let mut res = worker
            .pooled_client
            .post(url)
            .send_json(&question)
            .await
            .ok()?;
        res.json::<Rating>().await.ok()
    };
    let rating = tokio::time::timeout(time_limit, call)
        .await
        .ok()
        .flatten()?;
    record_rating(worker, subject, rating.good);
    Some(rating.good)
}

/// Requests a rating that a request waits for.
pub async fn rate_inline(
    worker: &Worker,
    subject: &EvidenceSubject,
    answer: &Bytes,
    time_limit: Duration,
) -> Option<bool> {
    request_rating(
        worker,
        subject,
        answer,
        INLINE_RATING_TIMEOUT.min(time_limit),
    )
    .await
}

/// Decides whether an answer is rated for learning: one in ten, and every answer of a version that
/// is being rolled out, since bad answers are to be found there first.
pub fn is_sampled(worker: &Worker, snapshot: &Snapshot, version: &VersionName) -> bool {
    if worker.shared.settings.rater.is_none() {
        return false;
    }
    let rollout = snapshot.control.rollouts.get(&version.model);
    let is_rolling_out = rollout.is_some_and(|rollout| {
        rollout.to == version.version && u32::from(rollout.percent) < FULL_PERCENT
    });
    is_rolling_out || rand::random_ratio(SAMPLE_PERCENT, FULL_PERCENT)
}

/// Rates an answer in the background.
pub fn rate_in_background(worker: &Rc<Worker>, subject: &EvidenceSubject, answer: Bytes) {
    let (worker, subject) = (worker.clone(), subject.clone());
    actix_rt::spawn(async move {
        request_rating(&worker, &subject, &answer, SAMPLE_RATING_TIMEOUT).await;
    });
}

fn record_rating(worker: &Worker, subject: &EvidenceSubject, good: bool) {
    worker.shared.update_counts(subject, |counts| {
        if good {
            counts.good += 1;
        } else {
            counts.bad += 1;
        }
    });
}
