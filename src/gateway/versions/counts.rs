//! What each answer says of the version that gave it.
//!
//! While a service is under roll-out, every box counts the answers of the new version and
//! of those before it: the old ones tell what is usual, so that a route on which one answer
//! in seven fails whatever the version does not condemn a good one. See
//! `docs/design/platform.md`.

use super::watch::{
    ENGINE_GUARD, PLAIN_GUARD, Quality, SLOW_ANSWER, SLOW_PACE, SLOW_PACE_LOADED, Timing,
};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::job::Job;
use crate::gateway::attempt::exchange::Answer;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::membership::target_name;
use crate::gateway::control::store::{ListedUpstream, RolloutOrder};
use crate::name::VersionName;
use std::time::Duration;

/// The thousandths of the sessions that may have been moved to a new version while the old
/// one still shows what is usual.
const MOST_MOVED: u32 = 250;

impl Gateway {
    /// Records when the first event of an answer came.
    pub fn first_event(&self, job: &Job, answer: &Answer, model: &str, now: Now) {
        let upstream = answer.upstream();
        let took = now.monotonic.saturating_sub(answer.sent);
        self.telemetry
            .first_event(job, model, took, upstream.unread(now));
        if answer.tells_rate {
            self.learn_rate(&job.service, model, job.prompt.reading_tokens(), took);
        }
        upstream.with_listed(|listed| {
            self.sessions
                .borrow_mut()
                .served(&job.session, &listed.version, now);
        });
    }

    /// Counts an answer by the mean time between two of its events, if enough of them came.
    ///
    /// The time to the first event tells little of a new version: its engines have kept
    /// none of the prompts yet.
    pub fn paced(&self, job: &Job, upstream: &Upstream, gap: Option<Duration>) {
        let listed = upstream.listed();
        let is_loaded = self.moved(&job.service) > MOST_MOVED;
        let timing = |gap| Timing {
            kind: &job.service,
            took: gap,
            slow_from: if is_loaded {
                SLOW_PACE_LOADED
            } else {
                SLOW_PACE
            },
        };
        let quality = gap.map_or(Quality::Untimed, |gap| self.quality(&listed, timing(gap)));
        self.count(job, &listed, quality);
    }

    /// Records a whole answer of a plain service; none if the upstream failed to give it.
    ///
    /// Only a request's first try counts: a request that fails at one upstream often fails
    /// at the next as well, whatever their versions.
    pub fn answered_plain(&self, job: &Job, upstream: &Upstream, took: Option<Duration>) {
        if job.tries.runs() > 1 {
            return;
        }
        let listed = upstream.listed();
        let timing = |took| Timing {
            kind: &job.route.name,
            took,
            slow_from: SLOW_ANSWER,
        };
        let quality = took.map_or(Quality::Failed, |took| self.quality(&listed, timing(took)));
        self.count(job, &listed, quality);
    }

    /// Counts an engine's own failure against its version.
    pub fn count_failure(&self, job: &Job, upstream: &Upstream) {
        self.count(job, &upstream.listed(), Quality::Failed);
    }

    /// Tells whether the target of a roll-out was found bad.
    pub fn is_condemned(&self, order: &RolloutOrder) -> bool {
        let is_engine = self
            .knowledge
            .borrow()
            .routes()
            .and_then(|routes| routes.services.get(&order.service))
            .is_some_and(|service| service.engine.is_some());
        let policy = match is_engine {
            true => ENGINE_GUARD,
            false => PLAIN_GUARD,
        };
        let target = target_name(order);
        self.versions.borrow_mut().is_condemned(&target, policy)
    }

    /// Compares a time with the usual one; the old versions' times teach what is usual.
    fn quality(&self, listed: &ListedUpstream, timing: Timing<'_>) -> Quality {
        let mut versions = self.versions.borrow_mut();
        let is_slow = versions.is_slow(timing);
        if self.shows_the_usual(listed) {
            versions.learn_usual(timing);
        }
        match is_slow {
            true => Quality::Slow,
            false => Quality::Whole,
        }
    }

    fn count(&self, job: &Job, listed: &ListedUpstream, quality: Quality) {
        if self.is_under_rollout(&listed.service) {
            let mut versions = self.versions.borrow_mut();
            versions.count(&version_of(listed), &job.route.name, quality);
        }
    }

    fn is_under_rollout(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        let rollout = knowledge.rollout(service);
        rollout.is_some_and(|rollout| rollout.order.is_some())
    }

    /// Tells whether an upstream's times show what is usual: it is of an old version that
    /// still bears most of the load. Once most sessions have been moved, the old upstreams
    /// idle and are faster than any loaded one.
    fn shows_the_usual(&self, listed: &ListedUpstream) -> bool {
        let knowledge = self.knowledge.borrow();
        let rollout = knowledge.rollout(&listed.service);
        let order = rollout.and_then(|rollout| rollout.order.as_ref());
        let is_new = order.is_some_and(|(order, _)| order.target == listed.version);
        !is_new && self.moved(&listed.service) <= MOST_MOVED
    }

    /// Returns the thousandths of a service's sessions that were moved to a new version.
    fn moved(&self, service: &str) -> u32 {
        let knowledge = self.knowledge.borrow();
        let Some(rollout) = knowledge.rollout(service) else {
            return 0;
        };
        let order = rollout.order.as_ref().map(|(order, _)| order.revision);
        rollout
            .record
            .as_ref()
            .map(|known| &known.record)
            .filter(|record| Some(record.order_revision) == order)
            .map_or(0, |record| record.permille)
    }
}

fn version_of(listed: &ListedUpstream) -> VersionName {
    VersionName {
        model: listed.service.clone(),
        version: listed.version.clone(),
    }
}
