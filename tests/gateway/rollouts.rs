//! Rollouts: which version serves a session, and when a version is rejected.

use super::{at, cases};
use gatepier::gateway::control::rollout::Rollout;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{RolloutOrder, RolloutRecord, RolloutState, Update};
use gatepier::gateway::versions::exposure::{ExposureBound, RolloutTime};
use gatepier::gateway::versions::latency_evidence::{EvidenceLevel, LatencyEvidence};
use gatepier::gateway::versions::monitor::{
    RejectionReason, RolloutStatus, Verdict, VersionMonitor,
};
use gatepier::gateway::versions::rollout::{
    RolloutProgress, VersionQuery, VersionRule, is_record_overdue, next_record, version_rule,
};
use gatepier::gateway::versions::session_versions::SessionVersions;
use gatepier::gateway::versions::statistics::{
    LatencyMetric, RequestCounts, ResponseKind, SampledRequest,
};
use gatepier::gateway::versions::stored_evidence::StoredEvidence;
use gatepier::name::VersionName;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        duration: 24 * SECOND,
        revision: 10,
    }
}

fn record(state: RolloutState, permille: u32, elapsed: Duration) -> RolloutRecord {
    RolloutRecord {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        order_revision: 10,
        state,
        permille,
        elapsed_ms: elapsed.as_millis() as u64,
        stage_ms: elapsed.as_millis() as u64,
        unseen_ms: 0,
        seen: Box::default(),
        rejected: Vec::new(),
    }
}

/// Returns what a box knows of a rollout.
fn rollout_with(record: Option<RolloutRecord>) -> Rollout {
    let mut knowledge = ControlPlaneState::default();
    knowledge.apply(Update::RolloutOrdered(order()), at(0));
    if let Some(record) = record {
        knowledge.apply(Update::RolloutRecorded(record, 11), at(0));
    }
    knowledge.rollout("engine").unwrap().clone()
}

fn query(session: &str) -> VersionQuery<'_> {
    VersionQuery {
        session,
        session_version: None,
        stays_on_old_version: false,
        is_rejected: false,
        has_just_started: false,
    }
}

fn served_by_target(rollout: &Rollout, query: VersionQuery<'_>, millis: u64) -> bool {
    version_rule(Some(rollout), query, at(millis)) == VersionRule::Prefer("v2".to_owned())
}

/// Returns the operators' limits on the use of a bad version.
fn bound() -> ExposureBound {
    ExposureBound {
        share: 0.15,
        slack: 30.0,
        rollback: 5 * SECOND,
    }
}

/// Returns the leading box's progress with a version that is proved good, or of which nothing is
/// known.
fn progress(seconds: u32, is_good: bool) -> RolloutProgress {
    let evidence = match is_good {
        true => EvidenceLevel::Conclusive,
        false => EvidenceLevel::Insufficient,
    };
    RolloutProgress {
        elapsed: SECOND * seconds,
        unobserved: Duration::ZERO,
        is_rejected: false,
        verdict: Verdict {
            latency: LatencyEvidence::default(),
            evidence,
            stage_evidence: evidence,
            // At 100 requests a second, the first stage gets no more than 30.
            requests: RequestCounts {
                new_version: 0,
                all: u64::from(seconds) * 100,
                first_at: Some(Duration::ZERO),
            },
            stored_evidence: StoredEvidence::default(),
        },
        bound: bound(),
    }
}

fn target() -> VersionName {
    VersionName {
        model: "engine".to_owned(),
        version: "v2".to_owned(),
    }
}

/// The outcome of a request; `Slow` is four times as long as `Normal`.
#[derive(Debug, Clone, Copy)]
enum Response {
    Normal,
    Slow,
    Untimed,
    Failed,
}

/// A rollout whose responses are all recorded in one time window.
struct RolloutFixture {
    monitor: VersionMonitor,
    recorded: u32,
}

impl RolloutFixture {
    fn new(reporter: &str) -> Self {
        Self {
            monitor: VersionMonitor::new(reporter, Rc::default()),
            recorded: 0,
        }
    }

    fn sampled_request(is_new_version: bool) -> SampledRequest {
        SampledRequest {
            order: 10,
            window: 3,
            elapsed: 3 * SECOND,
            is_new_version,
        }
    }

    /// Records a response that took this many seconds; `None` if it failed.
    fn record_time(&mut self, is_new_version: bool, route: &str, seconds: Option<f64>) {
        let kind = ResponseKind {
            route,
            metric: LatencyMetric::ResponseTime,
        };
        let timer = self.monitor.local_statistics().start_timer(
            Self::sampled_request(is_new_version),
            kind,
            1.0,
            at(0),
        );
        match seconds {
            Some(seconds) => timer.record_duration(seconds),
            None => timer.record_failure(),
        }
    }

    /// Records a response. Normal ones differ by up to a quarter.
    fn record(&mut self, is_new_version: bool, route: &str, response: Response) {
        self.recorded += 1;
        let usual = 0.1 * (1.0 + f64::from(self.recorded * 7 % 25) / 100.0);
        match response {
            Response::Normal => self.record_time(is_new_version, route, Some(usual)),
            Response::Slow => self.record_time(is_new_version, route, Some(usual * 4.0)),
            Response::Failed => self.record_time(is_new_version, route, None),
            Response::Untimed => {
                let kind = ResponseKind {
                    route,
                    metric: LatencyMetric::ResponseTime,
                };
                drop(self.monitor.local_statistics().start_timer(
                    Self::sampled_request(is_new_version),
                    kind,
                    1.0,
                    at(0),
                ));
            }
        }
    }

    /// Records a response of the target, and beside it a normal one of the old version.
    fn record_both(&mut self, route: &str, response: Response) {
        self.record(false, route, Response::Normal);
        self.record(true, route, response);
    }

    fn evaluate(&mut self, now_ms: u64) -> Verdict {
        self.evaluate_with(None, now_ms)
    }

    /// Evaluates the version by the statistics and by the evidence in a record.
    fn evaluate_with(&mut self, stored_evidence: Option<StoredEvidence>, now_ms: u64) -> Verdict {
        let target = target();
        let status = RolloutStatus {
            order: 10,
            target: &target,
            time: RolloutTime {
                elapsed: 6 * SECOND,
                duration: 24 * SECOND,
            },
            stage_window: 0,
            is_past_first_stage: false,
            is_proved: true,
            stored_evidence,
        };
        self.monitor.evaluate(status, &bound(), at(now_ms))
    }

    fn is_rejected(&mut self) -> bool {
        self.evaluate(0);
        self.monitor.rejection(10).is_some()
    }
}

cases! {
    target_gets_no_session_before_the_first_record => {
        let rollout = rollout_with(None);
        for session in 0..100 {
            let rule = version_rule(Some(&rollout), query(&session.to_string()), at(1));
            expect_that!(rule.allows("v2"), eq(false));
        }
    }

    first_stage_serves_a_tenth_of_the_sessions => {
        let rollout = rollout_with(Some(record(RolloutState::Running, 100, SECOND)));
        let moved = (0..2000)
            .filter(|session| served_by_target(&rollout, query(&session.to_string()), 1))
            .count();
        expect_that!(moved, all!(gt(140), lt(260)));
    }

    session_of_the_old_version_stays_in_the_first_half => {
        // The requests of a session reach several boxes: with hashing alone, a run without faults
        // moved twenty sessions.
        let rollout = rollout_with(Some(record(RolloutState::Running, 1000, SECOND)));
        let stays = VersionQuery { stays_on_old_version: true, ..query("s") };
        expect_that!(served_by_target(&rollout, query("s"), 1), eq(true));
        expect_that!(served_by_target(&rollout, stays, 1), eq(false));
        expect_that!(served_by_target(&rollout, stays, 13_000), eq(true));
    }

    session_on_the_target_stays_on_it => {
        let rollout = rollout_with(Some(record(RolloutState::Running, 0, SECOND)));
        let on_target = VersionQuery { session_version: Some("v2"), ..query("s") };
        expect_that!(served_by_target(&rollout, on_target, 1), eq(true));
    }

    rejected_or_reverted_target_serves_no_session => {
        let running = rollout_with(Some(record(RolloutState::Running, 1000, SECOND)));
        let rejected = VersionQuery { is_rejected: true, session_version: Some("v2"), ..query("s") };
        expect_that!(version_rule(Some(&running), rejected, at(1)).allows("v2"), eq(false));
        let reverted = rollout_with(Some(record(RolloutState::Reverted, 0, SECOND)));
        let on_target = VersionQuery { session_version: Some("v2"), ..query("s") };
        expect_that!(version_rule(Some(&reverted), on_target, at(1)).allows("v2"), eq(false));
    }

    first_stage_waits_for_the_session_exchange => {
        let first = next_record(&order(), None, progress(0, false)).unwrap();
        expect_that!(first.permille, eq(0));
        let second = next_record(&order(), Some(&first), progress(2, false)).unwrap();
        expect_that!(second.permille, all!(gt(0), le(100)));
        expect_that!(next_record(&order(), Some(&second), progress(3, false)), none());
    }

    unproven_target_stays_at_its_stage_and_is_reverted_in_time => {
        // Fails if the absence of a rejection counts as a proof: after 22 responses a version went
        // from a tenth to eight tenths of the sessions at once.
        let first = record(RolloutState::Running, 100, SECOND);
        for second in 2..22 {
            let next = next_record(&order(), Some(&first), progress(second, false));
            expect_that!(next.map_or(100, |next| next.permille), eq(100));
        }
        let reverted = next_record(&order(), Some(&first), progress(23, false)).unwrap();
        expect_that!(reverted.state, eq(RolloutState::Reverted));
    }

    late_proof_skips_no_stage => {
        // Fails if a late proof skips the stage at which both versions have a similar load.
        let mut current = record(RolloutState::Running, 100, SECOND);
        let mut stages = Vec::new();
        for second in 17..22 {
            if let Some(next) = next_record(&order(), Some(&current), progress(second, true)) {
                if next.state == RolloutState::Running {
                    stages.push(next.permille);
                }
                current = next;
            }
        }
        expect_that!(stages, elements_are![eq(&250), eq(&400), eq(&1000)]);
    }

    version_unproven_under_load_stays_at_its_stage => {
        let compared = record(RolloutState::Running, 400, 14 * SECOND);
        let mut unproved = progress(17, true);
        unproved.verdict.stage_evidence = EvidenceLevel::Favourable;
        let next = next_record(&order(), Some(&compared), unproved);
        expect_that!(next.map_or(400, |next| next.permille), eq(400));
    }

    elapsed_time_is_written_between_stages => {
        // Boxes that were all killed together took the age of the last stage for that of the
        // rollout.
        let first = record(RolloutState::Running, 100, 2 * SECOND);
        expect_that!(next_record(&order(), Some(&first), progress(3, false)), none());
        let later = next_record(&order(), Some(&first), progress(4, false)).unwrap();
        expect_that!(later.permille, eq(100));
        expect_that!(later.elapsed_ms, eq(4000));
        expect_that!(later.stage_ms, eq(2000));
    }

    stage_sizes_follow_from_the_operators_share => {
        let narrow = ExposureBound { share: 0.05, ..bound() };
        expect_that!(narrow.middle_stage_permille(400), eq(135));
        let time = RolloutTime { elapsed: 2 * SECOND, duration: 24 * SECOND };
        let first = |all| narrow.first_stage_permille(RequestCounts { new_version: 0, all, first_at: None }, time);
        expect_that!(first(20), gt(first(200)));
        expect_that!(first(2000), lt(first(200)));
    }

    elapsed_time_continues_after_all_boxes_restart => {
        // Boxes that were restarted in turn each counted on from the last record: 22.5 s into a
        // rollout of 20 s they took it for 10.3 s old, and a bad version was still in use.
        let mut knowledge = ControlPlaneState::default();
        knowledge.apply(Update::RolloutOrdered(order()), at(0));
        let first = record(RolloutState::Running, 45, 2 * SECOND);
        knowledge.apply(Update::RolloutRecorded(first, 11), at(0));
        knowledge.apply_reported_elapsed(order().revision, 20 * SECOND, at(1000));
        knowledge.apply_reported_elapsed(order().revision, 9 * SECOND, at(1500));
        knowledge.apply_reported_elapsed(99, 90 * SECOND, at(1600));
        let elapsed = knowledge.rollout("engine").unwrap().elapsed(at(2000));
        expect_that!(elapsed, some(eq(21 * SECOND)));
    }

    downtime_of_all_boxes_counts_towards_the_deadline => {
        // With all boxes killed twice, a bad version was reverted at 19.9 s of its 20 s, which
        // leaves operators 0.1 s to read it. The boxes had counted 18.4 s, since the time between
        // the last write and a kill, 0.7 s each, was lost. The version was in use for as much
        // longer, once beyond the operators' limits.
        let started = || {
            let mut knowledge = ControlPlaneState::default();
            knowledge.apply(Update::RolloutOrdered(order()), at(0));
            let written = RolloutRecord { unseen_ms: 600, ..record(RolloutState::Running, 45, 6 * SECOND) };
            knowledge.apply(Update::RolloutRecorded(written, 11), at(0));
            knowledge
        };
        let unobserved = |knowledge: &ControlPlaneState, millis| knowledge.rollout("engine").unwrap().unseen(at(millis));
        let half_an_interval = order().duration / 40;
        let mut knowledge = started();
        expect_that!(unobserved(&knowledge, 0), eq(2 * half_an_interval));
        // Later records include it once.
        let mut next = record(RolloutState::Running, 45, 8 * SECOND);
        next.unseen_ms = 1200;
        knowledge.apply(Update::RolloutRecorded(next, 12), at(2000));
        expect_that!(unobserved(&knowledge, 2500), eq(2 * half_an_interval));
        // A box that was not restarted knows the time.
        let mut knowledge = started();
        knowledge.apply_reported_elapsed(order().revision, 6_700 * SECOND / 1000, at(100));
        expect_that!(unobserved(&knowledge, 100), eq(half_an_interval));
        // A box that received the record when it was written has missed nothing.
        let mut knowledge = ControlPlaneState::default();
        knowledge.apply(Update::RolloutOrdered(order()), at(0));
        let first = record(RolloutState::Running, 45, 2 * SECOND);
        knowledge.apply(Update::RolloutRecorded(first, 11), at(1700));
        expect_that!(unobserved(&knowledge, 1700), eq(Duration::ZERO));
        let compared = record(RolloutState::Running, 400, 14 * SECOND);
        let state = |unobserved| {
            let late = RolloutProgress { unobserved, ..progress(21, false) };
            next_record(&order(), Some(&compared), late).unwrap().state
        };
        expect_that!(state(Duration::ZERO), eq(RolloutState::Running));
        expect_that!(state(2 * half_an_interval), eq(RolloutState::Reverted));
    }

    restarted_box_does_not_extrapolate_its_stage_to_the_whole_rollout => {
        // Guards against reverting a good version: a box that was restarted at the start of the
        // middle stages had counted 58 of 161 requests to the new version, all boxes together 96 of
        // 487.
        let time = RolloutTime { elapsed: 14_500 * SECOND / 1000, duration: 20 * SECOND };
        let requests = |first_at| RequestCounts { new_version: 58, all: 161, first_at: Some(first_at) };
        expect_that!(bound().is_exhausted(requests(8 * SECOND), time), eq(false));
        expect_that!(bound().is_exhausted(requests(Duration::ZERO), time), eq(true));
    }

    requests_counted_after_a_restart_can_exhaust_the_share => {
        // All boxes were restarted half-way, and since then half of the requests go to the new
        // version.
        let time = RolloutTime { elapsed: 16 * SECOND, duration: 20 * SECOND };
        let requests = RequestCounts { new_version: 150, all: 300, first_at: Some(10 * SECOND) };
        expect_that!(bound().is_exhausted(requests, time), eq(true));
    }

    merged_counts_begin_with_the_earliest_request => {
        let request = |seconds, is_new_version| SampledRequest { elapsed: seconds * SECOND, ..RolloutFixture::sampled_request(is_new_version) };
        let mut requests = RequestCounts::default();
        requests.record(request(5, true));
        requests.record(request(6, false));
        let mut other = RequestCounts::default();
        other.merge(&RequestCounts::default());
        expect_that!(other.first_at, none());
        other.record(request(2, true));
        requests.merge(&other);
        expect_that!(requests, eq(RequestCounts { new_version: 2, all: 3, first_at: Some(2 * SECOND) }));
    }

    record_is_overdue_when_the_leading_box_does_not_write => {
        // The time is written every 1.2 s of 24 s, and may be overdue by 1.5 s.
        let first = record(RolloutState::Running, 100, 4 * SECOND);
        expect_that!(is_record_overdue(&order(), Some(&first), 6 * SECOND), eq(false));
        expect_that!(is_record_overdue(&order(), Some(&first), 7 * SECOND), eq(true));
        // There is no record of this order yet.
        expect_that!(is_record_overdue(&order(), None, SECOND), eq(false));
        expect_that!(is_record_overdue(&order(), None, 2 * SECOND), eq(true));
    }

    box_that_has_just_started_sends_nothing_to_an_unproven_version => {
        // Other boxes may have rejected the version, of which this one cannot have been notified
        // yet.
        let just_started = VersionQuery { has_just_started: true, session_version: Some("v2"), ..query("s") };
        let on_trial = rollout_with(Some(record(RolloutState::Running, 400, SECOND)));
        expect_that!(version_rule(Some(&on_trial), just_started, at(1)).allows("v2"), eq(false));
        let proved = rollout_with(Some(record(RolloutState::Running, 1000, SECOND)));
        expect_that!(version_rule(Some(&proved), just_started, at(1)).allows("v2"), eq(true));
    }

    good_target_is_done_before_the_deadline => {
        let mut current = next_record(&order(), None, progress(0, false)).unwrap();
        let mut done_at = None;
        for second in 1..24 {
            if let Some(next) = next_record(&order(), Some(&current), progress(second, true)) {
                current = next;
            }
            if current.state == RolloutState::Done {
                done_at.get_or_insert(second);
            }
        }
        expect_that!(done_at, some(lt(22)));
    }

    rejected_target_is_reverted_for_good => {
        let running = record(RolloutState::Running, 100, SECOND);
        let bad = RolloutProgress { is_rejected: true, ..progress(5, false) };
        let reverted = next_record(&order(), Some(&running), bad).unwrap();
        expect_that!(reverted.state, eq(RolloutState::Reverted));
        expect_that!(next_record(&order(), Some(&reverted), progress(20, true)), none());
    }

    new_order_does_not_use_a_rejected_version_as_the_old_one => {
        let mut reverted = record(RolloutState::Reverted, 0, SECOND);
        reverted.rejected = vec!["v2".to_owned()];
        let next_order = RolloutOrder { target: "v3".to_owned(), revision: 20, ..order() };
        let next = next_record(&next_order, Some(&reverted), progress(0, false)).unwrap();
        expect_that!(next.rejected, elements_are![eq("v2")]);
    }

    failing_version_is_rejected_within_fifty_responses => {
        let mut fixture = RolloutFixture::new("box");
        let mut responses = 0;
        while !fixture.is_rejected() && responses < 200 {
            let failed = responses % 3 == 0;
            let response = if failed { Response::Failed } else { Response::Normal };
            fixture.record(true, "recap", response);
            responses += 1;
        }
        expect_that!(responses, lt(50));
    }

    slow_version_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..120 {
            let response = if response % 3 == 0 { Response::Slow } else { Response::Normal };
            fixture.record_both("recap", response);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    version_failing_on_one_route_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..100 {
            let response = if response % 2 == 0 { Response::Failed } else { Response::Normal };
            fixture.record_both("recap", response);
            for _ in 0..9 {
                fixture.record_both("caption", Response::Normal);
            }
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    version_slow_on_one_route_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..60 {
            let response = if response % 2 == 0 { Response::Slow } else { Response::Normal };
            fixture.record_both("recap", response);
            fixture.record_both("caption", Response::Normal);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    good_version_with_some_failures_is_not_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..5000 {
            let response = match response % 25 {
                0 => Response::Failed,
                1 => Response::Slow,
                _ => Response::Normal,
            };
            fixture.record_both("recap", response);
            expect_that!(fixture.is_rejected(), eq(false));
        }
    }

    reports_of_other_boxes_count_once => {
        let mut one = RolloutFixture::new("one");
        let mut other = RolloutFixture::new("other");
        for _ in 0..5 {
            one.record(true, "recap", Response::Failed);
            other.record(true, "recap", Response::Failed);
        }
        expect_that!(one.is_rejected(), eq(false));
        let reports = other.monitor.reports(at(0));
        for report in reports.iter().chain(&reports) {
            one.monitor.accept_report(report.clone());
        }
        expect_that!(one.evaluate(0).latency.responses, eq(10));
        expect_that!(one.is_rejected(), eq(true));
    }

    out_of_order_report_does_not_replace_a_newer_one => {
        let mut one = RolloutFixture::new("one");
        let mut other = RolloutFixture::new("other");
        other.record(true, "recap", Response::Normal);
        let early = other.monitor.reports(at(0));
        other.record(true, "recap", Response::Normal);
        let late = other.monitor.reports(at(0));
        for report in late.into_iter().chain(early) {
            one.monitor.accept_report(report);
        }
        expect_that!(one.evaluate(0).latency.responses, eq(2));
    }

    times_are_compared_with_the_old_version_on_the_same_route => {
        let is_rejected_with = |route, new| {
            let mut fixture = RolloutFixture::new("box");
            for _ in 0..20 {
                fixture.record_time(false, "bookmark", Some(0.02));
                fixture.record_time(false, "report", Some(0.12));
            }
            for _ in 0..20 {
                fixture.record_time(true, route, Some(new));
            }
            fixture.is_rejected()
        };
        expect_that!(is_rejected_with("bookmark", 0.1), eq(true));
        expect_that!(is_rejected_with("report", 0.1), eq(false));
        expect_that!(is_rejected_with("unheard of", 0.1), eq(false));
    }

    version_that_slows_a_quarter_of_its_plain_responses_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..60 {
            let response = if response % 4 == 0 { Response::Slow } else { Response::Normal };
            fixture.record_both("bookmark", response);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    untimed_responses_do_not_hide_slow_ones => {
        // Fails if untimed responses count as fast: half of the users' responses have three events.
        let mut fixture = RolloutFixture::new("box");
        for response in 0..80 {
            let response = if response % 2 == 0 { Response::Slow } else { Response::Untimed };
            fixture.record_both("tag", response);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    engine_that_slows_most_responses_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..40 {
            let response = if response % 6 == 0 { Response::Normal } else { Response::Slow };
            fixture.record_both("recap", response);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    engine_that_slows_four_responses_in_ten_is_rejected => {
        // Fails if an engine may slow four responses in ten: with few concurrent requests, an
        // engine slows only those that the version slows.
        let mut fixture = RolloutFixture::new("box");
        for response in 0..100 {
            let response = if response % 5 < 2 { Response::Slow } else { Response::Normal };
            fixture.record_both("recap", response);
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    engine_with_an_empty_prompt_cache_is_not_rejected => {
        // A good version's responses were delayed when a stage moved many sessions to it: four in
        // ten by a third beyond the spread of the old version.
        let mut fixture = RolloutFixture::new("box");
        for response in 0..100 {
            fixture.record(false, "recap", Response::Normal);
            let held_up = if response % 5 < 2 { 1.33 } else { 1.1 };
            let usual = 0.1 * (1.0 + f64::from(response * 7 % 25) / 100.0);
            fixture.record_time(true, "recap", Some(usual * held_up));
        }
        expect_that!(fixture.is_rejected(), eq(false));
    }

    load_that_slows_both_versions_alike_rejects_neither => {
        // Fails if times are compared with earlier ones: by a running mean, such versions were
        // slow.
        let mut fixture = RolloutFixture::new("box");
        for response in 0..200 {
            let usual = 0.1 * (1.0 + f64::from(response * 7 % 25) / 100.0);
            for is_new_version in [false, true] {
                fixture.record_time(is_new_version, "recap", Some(usual * 6.0));
            }
        }
        expect_that!(fixture.is_rejected(), eq(false));
    }

    slow_responses_count_while_in_flight => {
        // Fails if a response counts only once it is complete: those of a slow version complete
        // last.
        let mut fixture = RolloutFixture::new("box");
        let kind = ResponseKind { route: "recap", metric: LatencyMetric::ResponseTime };
        let mut in_flight = Vec::new();
        for _ in 0..30 {
            fixture.record(false, "recap", Response::Normal);
            let request = RolloutFixture::sampled_request(true);
            in_flight.push(fixture.monitor.local_statistics().start_timer(request, kind, 1.0, at(0)));
        }
        fixture.evaluate(500);
        expect_that!(fixture.monitor.rejection(10), some(eq(&RejectionReason::Slow)));
    }

    requests_just_sent_are_no_evidence_against_a_version => {
        // Fails if every request in flight counts as slow: after a change of stage, the new
        // version's requests are younger than the old one's.
        let mut fixture = RolloutFixture::new("box");
        let kind = ResponseKind { route: "recap", metric: LatencyMetric::ResponseTime };
        let mut in_flight = Vec::new();
        for _ in 0..100 {
            fixture.record(false, "recap", Response::Normal);
            let request = RolloutFixture::sampled_request(true);
            in_flight.push(fixture.monitor.local_statistics().start_timer(request, kind, 1.0, at(500)));
        }
        fixture.evaluate(520);
        expect_that!(fixture.monitor.rejection(10), none());
        expect_that!(fixture.evaluate(520).evidence, eq(EvidenceLevel::Insufficient));
    }

    failure_rate_of_the_old_version_is_tolerated => {
        // Fails if the tolerated failure rate is fixed: one bookmark request in seven gets 500 from
        // every version.
        let mut fixture = RolloutFixture::new("box");
        for response in 0..2000 {
            let response = if response % 7 == 0 { Response::Failed } else { Response::Normal };
            fixture.record(false, "bookmark", response);
            fixture.record(true, "bookmark", response);
            expect_that!(fixture.is_rejected(), eq(false));
        }
    }

    version_that_fails_one_response_in_ten_is_not_proved => {
        // Fails if twice the failure rate that the guard tolerates counts as low: such a version
        // was rolled out in five of nine runs.
        let evidence = |fails_every: u32| {
            let mut fixture = RolloutFixture::new("box");
            for response in 0..100 {
                let response = if response % fails_every == 7 { Response::Failed } else { Response::Normal };
                fixture.record_both("bookmark", response);
            }
            fixture.evaluate(0).evidence
        };
        expect_that!(evidence(10), lt(EvidenceLevel::Tentative));
        expect_that!(evidence(101), ge(EvidenceLevel::Sufficient));
    }

    version_that_slows_batches_is_not_proved => {
        // Fails if only the highest ranks are evaluated: a version that slows some requests twofold
        // slows those in the same batch by 10 to 20 %.
        let evidence = |slowdown: f64| {
            let mut fixture = RolloutFixture::new("box");
            let kind = ResponseKind { route: "recap", metric: LatencyMetric::EventInterval };
            for response in 0..60 {
                let usual = 0.03 * (1.0 + f64::from(response * 7 % 25) / 100.0);
                for is_new_version in [false, true] {
                    let timer = fixture.monitor.local_statistics().start_timer(RolloutFixture::sampled_request(is_new_version), kind, 1.0, at(0));
                    timer.record_duration(if is_new_version { usual * slowdown } else { usual });
                    fixture.record(is_new_version, "recap", Response::Normal);
                }
            }
            fixture.evaluate(0).evidence
        };
        expect_that!(evidence(1.12), lt(EvidenceLevel::Sufficient));
        expect_that!(evidence(0.95), ge(EvidenceLevel::Sufficient));
    }

    responses_of_the_faster_half_do_not_start_the_rollback_clock => {
        // Fails if every response counts as possibly bad: good versions were reverted five seconds
        // after their fiftieth response, with a likelihood ratio of e^-20 of being bad.
        let mut fixture = RolloutFixture::new("box");
        for _ in 0..60 {
            fixture.record_both("recap", Response::Normal);
        }
        let possibly_bad = fixture.evaluate(0).latency.possibly_bad;
        expect_that!(possibly_bad, all!(gt(20), lt(40)));
        expect_that!(bound().is_rollback_clock_running(possibly_bad), eq(false));
        for _ in 0..20 {
            fixture.record_both("recap", Response::Slow);
        }
        let possibly_bad = fixture.evaluate(0).latency.possibly_bad;
        expect_that!(bound().is_rollback_clock_running(possibly_bad), eq(true));
    }

    version_that_fails_more_than_the_old_one_is_rejected => {
        let mut fixture = RolloutFixture::new("box");
        for response in 0..90 {
            let fails = |one_in: usize| match response % one_in {
                0 => Response::Failed,
                _ => Response::Normal,
            };
            fixture.record(false, "bookmark", fails(7));
            fixture.record(true, "bookmark", fails(2));
        }
        expect_that!(fixture.is_rejected(), eq(true));
    }

    evidence_for_a_version_survives_a_restart_of_all_boxes => {
        // A good version was reverted because boxes that were all killed evaluated it by the
        // responses after their restart alone.
        let mut fixture = RolloutFixture::new("before restart");
        for _ in 0..60 {
            fixture.record_both("recap", Response::Normal);
        }
        let before = fixture.evaluate_with(Some(StoredEvidence::default()), 0);
        expect_that!(before.evidence, ge(EvidenceLevel::Sufficient));
        let first = record(RolloutState::Running, 100, 4 * SECOND);
        let same_stage = RolloutProgress { verdict: before, ..progress(6, false) };
        let written = next_record(&order(), Some(&first), same_stage).unwrap();
        let text = serde_json::to_string(&written).unwrap();
        println!("record size: {} bytes", text.len());
        let read: RolloutRecord = serde_json::from_str(&text).unwrap();
        let mut fixture = RolloutFixture::new("after restart");
        let after = fixture.evaluate_with(Some(*read.seen), 0);
        expect_that!(after.evidence, eq(before.evidence));
        expect_that!(after.stage_evidence, eq(before.stage_evidence));
        expect_that!(after.latency.responses, eq(60));
        expect_that!(after.latency.possibly_bad, eq(before.latency.possibly_bad));
        expect_that!(fixture.evaluate(0).evidence, eq(EvidenceLevel::Insufficient));
    }

    evidence_against_a_version_survives_a_restart_of_all_boxes => {
        let mut fixture = RolloutFixture::new("before restart");
        for response in 0..18 {
            let response = if response % 2 == 0 { Response::Slow } else { Response::Normal };
            fixture.record_both("recap", response);
        }
        let before = fixture.evaluate_with(Some(StoredEvidence::default()), 0);
        let after = RolloutFixture::new("after restart").evaluate_with(Some(before.stored_evidence), 0);
        expect_that!(before.latency.max_cusum, gt(2.0));
        expect_that!(after.latency.max_cusum, near(before.latency.max_cusum, 0.01));
    }

    own_statistics_are_not_counted_again_from_the_record => {
        let mut fixture = RolloutFixture::new("box");
        for _ in 0..60 {
            fixture.record_both("recap", Response::Normal);
        }
        let stored_evidence = fixture.evaluate_with(Some(StoredEvidence::default()), 0).stored_evidence;
        expect_that!(fixture.evaluate_with(Some(stored_evidence), 0).latency.responses, eq(60));
    }

    stage_is_evaluated_by_its_own_responses => {
        let mut fixture = RolloutFixture::new("box");
        for _ in 0..60 {
            fixture.record_both("recap", Response::Normal);
        }
        let verdict = fixture.evaluate_with(Some(StoredEvidence::default()), 0);
        let first = record(RolloutState::Running, 100, 4 * SECOND);
        let moving = RolloutProgress { verdict, ..progress(13, true) };
        let next = next_record(&order(), Some(&first), moving).unwrap();
        expect_that!(next.permille, gt(100));
        let verdict = RolloutFixture::new("after restart").evaluate_with(Some(*next.seen), 0);
        expect_that!(verdict.stage_evidence, eq(EvidenceLevel::Insufficient));
    }

    record_without_evidence_is_read => {
        let text = r#"{"service":"engine","target":"v2","order_revision":10,"state":"Running",
            "permille":100,"elapsed_ms":1000,"rejected":[]}"#;
        let read: RolloutRecord = serde_json::from_str(text).unwrap();
        expect_that!(*read.seen, eq(StoredEvidence::default()));
    }

    last_stage_needs_no_proof_under_load_where_the_share_allows_it => {
        // At ten requests a second, the stage has too few responses for a proof, but serving all
        // sessions for the rest of the time is within the limits on a bad version.
        let compared = record(RolloutState::Running, 400, 14 * SECOND);
        let next = |all, stage_evidence| {
            let mut late = progress(22, true);
            late.verdict.evidence = EvidenceLevel::Sufficient;
            late.verdict.stage_evidence = stage_evidence;
            late.verdict.requests = RequestCounts { new_version: all / 6, all, first_at: Some(Duration::ZERO) };
            next_record(&order(), Some(&compared), late).map_or(400, |next| next.permille)
        };
        expect_that!(next(220, EvidenceLevel::Favourable), eq(1000));
        expect_that!(next(220, EvidenceLevel::Tentative), eq(400));
        expect_that!(next(2200, EvidenceLevel::Favourable), eq(400));
    }

    rejection_does_not_apply_to_the_next_order => {
        // A fixed version may be ordered again. When statistics and rejections were kept by version
        // name, the new rollout would have been reverted at once.
        let mut fixture = RolloutFixture::new("box");
        for _ in 0..50 {
            fixture.record(true, "recap", Response::Failed);
        }
        expect_that!(fixture.is_rejected(), eq(true));
        let target = target();
        let again = RolloutStatus {
            order: 11,
            target: &target,
            time: RolloutTime { elapsed: 6 * SECOND, duration: 24 * SECOND },
            stage_window: 0,
            is_past_first_stage: false,
            is_proved: false,
            stored_evidence: None,
        };
        fixture.monitor.evaluate(again, &bound(), at(0));
        expect_that!(fixture.monitor.rejection(11), none());
        fixture.monitor.retain_orders(|order| order == 11);
        expect_that!(fixture.monitor.rejection(10), none());
    }

    rejection_by_a_peer_is_recorded_but_not_forwarded => {
        let mut monitor = VersionMonitor::new("box", Rc::default());
        expect_that!(monitor.accept_peer_rejection(10), eq(true));
        expect_that!(monitor.accept_peer_rejection(10), eq(false));
        expect_that!(monitor.rejection(10), some(eq(&RejectionReason::ReportedByPeer)));
        // A box does not forward it: the one that rejected the version notifies all others.
        expect_that!(monitor.local_rejections(), is_empty());
    }

    boxes_exchange_the_sessions_that_the_first_stage_could_move => {
        let mut sessions = SessionVersions::new(5 * SECOND);
        for session in 0..1000 {
            sessions.record_version(&session.to_string(), "v1", at(0));
        }
        let old = sessions.sessions_to_keep(&order(), at(1000));
        expect_that!(old.len(), all!(gt(60), lt(140)));
        let mut other = SessionVersions::new(5 * SECOND);
        other.keep_on_old_version(10, &old);
        let moved = (0..1000).filter(|session| other.stays_on_old_version(&session.to_string(), 10));
        expect_that!(moved.count(), eq(old.len()));
    }

    sessions_expire => {
        let mut sessions = SessionVersions::new(5 * SECOND);
        sessions.record_version("s", "v1", at(0));
        expect_that!(sessions.current_version("s", at(4000)), some(eq("v1")));
        expect_that!(sessions.current_version("s", at(6000)), none());
    }
}
