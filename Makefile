.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	./check.sh

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/valehatch serve deploy/gateway.toml
