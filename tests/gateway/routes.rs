//! Routing: the matching route, the organisation of a key, traffic weights, model prices and ranks.

use super::cases;
use gatepier::gateway::admit::routes::{
    Caller, CallerLimits, Engine, Organisation, Route, RouteKind, RouteTable,
};
use googletest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "reader.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        public: false,
        models: Vec::new(),
        services: vec![("reader".to_owned(), 90), ("canary".to_owned(), 10)],
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let comics = Organisation {
        name: "comics".to_owned(),
        priority: 1,
    };
    let organisations = Some(vec![(comics, vec!["key-1".to_owned()])]);
    RouteTable::new(
        1,
        routes,
        HashMap::new(),
        CallerLimits::default(),
        organisations,
    )
}

cases! {
    longest_prefix_wins => {
        let table = table(vec![route("short", "/a/"), route("long", "/a/b/")]);
        let name = |path| table.route("reader.example", path).map(|route| route.name.clone());
        expect_that!(name("/a/b/c"), some(eq("long")));
        expect_that!(name("/a/x"), some(eq("short")));
        expect_that!(name("/b/"), none());
    }

    host_is_matched_without_port_and_case => {
        let table = table(vec![route("only", "/")]);
        expect_that!(table.route("Reader.Example:8080", "/x").is_some(), eq(true));
        expect_that!(table.route("other.example", "/x").is_none(), eq(true));
    }

    key_identifies_its_organisation => {
        let table = table(vec![route("only", "/")]);
        let route = table.route("reader.example", "/").unwrap();
        expect_that!(matches!(table.caller(route, Some("key-1")), Caller::Known(_)), eq(true));
        expect_that!(table.caller(route, Some("other")), eq(Caller::Unknown));
        expect_that!(table.caller(route, None), eq(Caller::Unknown));
    }

    public_route_requires_no_key => {
        let mut public = route("public", "/");
        public.public = true;
        let table = table(vec![public]);
        let route = table.route("reader.example", "/").unwrap();
        expect_that!(table.caller(route, None), eq(Caller::Anonymous));
    }

    split_follows_the_weights => {
        let route = route("split", "/");
        let canary = (0..1000).filter(|hash| route.service_for(*hash) == Some("canary"));
        expect_that!(canary.count(), eq(100));
    }

    relative_price_is_a_fraction_of_the_highest_price => {
        let engine = Engine {
            models: vec![("small".to_owned(), 0.02), ("large".to_owned(), 0.4)],
        };
        expect_that!(engine.relative_price("large"), eq(1.0));
        expect_that!(engine.relative_price("small"), near(0.05, 1e-9));
        expect_that!(engine.relative_price("unknown"), eq(1.0));
    }

    relative_rank_spans_the_routes_on_which_the_router_chooses_the_model => {
        let of_priority = |priority, models: &[&str]| Route {
            priority,
            models: models.iter().map(ToString::to_string).collect(),
            ..route("r", "/")
        };
        let ranked = table(vec![of_priority(2, &["m"]), of_priority(4, &["m"]), of_priority(9, &[])]);
        for (priority, rank) in [(0, 0.0), (2, 0.0), (3, 0.5), (4, 1.0), (9, 1.0)] {
            expect_that!(ranked.relative_rank(priority), eq(rank));
        }
        for routes in [vec![], vec![of_priority(7, &["m"]), of_priority(0, &[])]] {
            expect_that!(table(routes).relative_rank(7), eq(0.5));
        }
    }
}
