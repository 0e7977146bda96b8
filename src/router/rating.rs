//! Asks the platform's service whether an answer is good.

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
const INLINE_DEADLINE: Duration = Duration::from_millis(500);
const SAMPLE_DEADLINE: Duration = Duration::from_secs(5);
/// How often an answer is rated for learning, of a hundred.
const SAMPLED_PERCENT: u32 = 10;
const WHOLE_PERCENT: u32 = 100;

/// The greatest part of an answer that is sent to be rated.
pub const RATED_BYTES_LIMIT: usize = 64 * 1024;

#[derive(Deserialize)]
struct Rating {
    good: bool,
}

/// Asks whether an answer is good; none means that no rating came in time.
pub async fn rate(
    worker: &Worker,
    subject: &EvidenceSubject,
    answer: &Bytes,
    deadline: Duration,
) -> Option<bool> {
    let rater = worker.shared.settings.rater?;
    let rated = &answer[..answer.len().min(RATED_BYTES_LIMIT)];
    let question = json!({
        "organisation": subject.organisation,
        "version": subject.version.to_string(),
        "answer": String::from_utf8_lossy(rated),
    });
    let url = format!("http://{rater}/v1/rate");
    let ask = async {
        let mut res = worker.client.post(url).send_json(&question).await.ok()?;
        res.json::<Rating>().await.ok()
    };
    let rating = tokio::time::timeout(deadline, ask).await.ok().flatten()?;
    count(worker, subject, rating.good);
    Some(rating.good)
}

/// Asks for a rating on which a request waits.
pub async fn rate_inline(
    worker: &Worker,
    subject: &EvidenceSubject,
    answer: &Bytes,
    left: Duration,
) -> Option<bool> {
    rate(worker, subject, answer, INLINE_DEADLINE.min(left)).await
}

/// Decides whether an answer is rated for learning: one in ten, and each answer of a
/// version that is being rolled out, since that is where bad ones are to be found first.
pub fn is_sampled(worker: &Worker, snapshot: &Snapshot, version: &VersionName) -> bool {
    if worker.shared.settings.rater.is_none() {
        return false;
    }
    let rollout = snapshot.control.rollouts.get(&version.model);
    let is_rolled = rollout.is_some_and(|rollout| {
        rollout.to == version.version && u32::from(rollout.percent) < WHOLE_PERCENT
    });
    is_rolled || rand::random_ratio(SAMPLED_PERCENT, WHOLE_PERCENT)
}

/// Rates an answer in the background.
pub fn rate_later(worker: &Rc<Worker>, subject: &EvidenceSubject, answer: Bytes) {
    let (worker, subject) = (worker.clone(), subject.clone());
    actix_rt::spawn(async move {
        rate(&worker, &subject, &answer, SAMPLE_DEADLINE).await;
    });
}

fn count(worker: &Worker, subject: &EvidenceSubject, good: bool) {
    worker.shared.count(subject, |counts| {
        if good {
            counts.good += 1;
        } else {
            counts.bad += 1;
        }
    });
}
