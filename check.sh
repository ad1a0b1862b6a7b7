#!/usr/bin/env bash
# The one test command: format, lints, docs, tests.
set -euo pipefail
cd "$(dirname "$0")"
rustup component add rustfmt clippy >/dev/null 2>&1 || true # present on most machines already
cargo fmt --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
# Known failures (KNOWN-RED.txt at the root, none if there is no such file) keep the rest from being judged by cargo alone.
.ci/known-red KNOWN-RED.txt
all=()
[ ! -s KNOWN-RED.txt ] || all=(--no-fail-fast)
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
CARGO_TERM_COLOR=never CARGO_TERM_QUIET=false cargo test --locked --workspace "${all[@]}" 2>&1 | tee "$output" ||
    status=${PIPESTATUS[0]}
.ci/known-red KNOWN-RED.txt "$output" "$status"
