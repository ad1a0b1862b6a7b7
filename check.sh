#!/usr/bin/env bash
# The one test command: format, lints, docs, tests, and the limits on the policy file.
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
lines=$(grep -cv '^[[:space:]]*$' crates/policy/src/decide.rs)
longest=$(awk '{ if (length($0) > n) n = length($0) } END { print n }' crates/policy/src/decide.rs)
echo "crates/policy/src/decide.rs: $lines non-blank lines (950 at most), longest line $longest (110 at most)"
[ "$lines" -le 950 ] && [ "$longest" -le 110 ]
