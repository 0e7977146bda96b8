//! The library contains none of the platform's names; only the adapter does.

use super::cases;
use googletest::prelude::*;
use std::path::{Path, PathBuf};

/// Some of the platform's names for headers, calls, keys and fields, without those that the
/// product's own interface uses as well.
const NAMES: [&str; 25] = [
    "Gatepier-Attempt",
    "gatepier-attempt",
    "CreateRevision",
    "Server-Seal",
    "server-seal",
    "gatepier-not-executed",
    "gatepier-expect-instance",
    "gatepier-instance-id",
    "gatepier-tenant",
    "x-api-key",
    "prompt-prefix",
    "gatepier-token-count",
    "gatepier-kv",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-lease",
    "op/config",
    "op/rollout",
    "status/rollout",
    "servers/",
    "ExpectedRev",
    "CurrentRev",
    "\"PrivateKey\"",
    "StreamResume",
];

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

cases! {
    library_contains_no_platform_name => {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let mut files = Vec::new();
        rust_files(&root.join("src"), &mut files);
        expect_that!(files.len(), gt(50));
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            for name in NAMES {
                expect_that!(text.contains(name), eq(false), "{name} in {}", file.display());
            }
        }
    }

    adapter_is_smaller_than_a_tenth_of_the_library => {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let lines = |directory: &str| {
            let mut files = Vec::new();
            rust_files(&root.join(directory), &mut files);
            let count = |file: &PathBuf| std::fs::read_to_string(file).unwrap().lines().count();
            files.iter().map(count).sum::<usize>()
        };
        expect_that!(lines("platform/src") * 10, lt(lines("src")));
    }
}
