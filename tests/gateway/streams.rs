//! Streams are relayed in complete events only.

use super::cases;
use gatepier::gateway::answer::events::EventSplitter;
use googletest::prelude::*;
use std::time::Duration;

cases! {
    incomplete_event_is_held_back => {
        let mut splitter = EventSplitter::default();
        let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap();
        expect_that!(events.bytes.as_ref(), eq(b"id: 1\ndata: a\n\n"));
        expect_that!(events.last_id, some(eq("1")));
        expect_that!(events.count, eq(1));
        expect_that!(splitter.is_inside_event(), eq(true));
        let events = splitter.push(b"ta: b\n\n").unwrap().unwrap();
        expect_that!(events.bytes.as_ref(), eq(b"id: 2\ndata: b\n\n"));
        expect_that!(splitter.is_inside_event(), eq(false));
    }

    several_events_are_returned_together => {
        let mut splitter = EventSplitter::default();
        let events = splitter.push(b"id:7\r\ndata:x\r\n\r\nid:8\r\n\r\n").unwrap().unwrap();
        expect_that!(events.count, eq(2));
        expect_that!(events.last_id, some(eq("8")));
    }

    any_split_of_the_bytes_gives_the_same_events => {
        let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";
        for split in 0..text.len() {
            let mut splitter = EventSplitter::default();
            let mut relayed = Vec::new();
            for part in [&text[..split], &text[split..]] {
                if let Some(events) = splitter.push(part).unwrap() {
                    relayed.extend_from_slice(&events.bytes);
                }
            }
            expect_that!(relayed.as_slice(), eq(text.as_slice()));
        }
    }

    event_over_the_size_limit_is_rejected => {
        let mut splitter = EventSplitter::default();
        let line = vec![b'x'; 2 * 1024 * 1024];
        expect_that!(splitter.push(&line).is_err(), eq(true));
    }

    // Guards against an upstream that only sends comments and counts as answering.
    comments_and_empty_lines_are_no_events => {
        let mut splitter = EventSplitter::default();
        for text in [": alive\n\n", "\n", "\r\n\r\n"] {
            let events = splitter.push(text.as_bytes()).unwrap().unwrap();
            expect_that!(events.count, eq(0), "{text:?}");
            expect_that!(events.bytes.as_ref(), eq(text.as_bytes()));
        }
        let events = splitter.push(b": with an event\ndata: 1\n\n").unwrap().unwrap();
        expect_that!(events.count, eq(1));
    }

    // Guards against a search that begins anew with each piece of a long event.
    long_event_in_small_pieces_is_searched_once => {
        const PIECES: usize = 60_000;
        let began = std::time::Instant::now();
        let mut splitter = EventSplitter::default();
        for _ in 0..PIECES {
            expect_that!(splitter.push(b"data: 1234567\n"), ok(none()));
        }
        expect_that!(splitter.push(b"\n").unwrap().unwrap().count, eq(1));
        expect_that!(began.elapsed(), le(Duration::from_secs(5)));
    }
}
