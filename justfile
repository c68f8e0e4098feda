# Runs everything that CI runs.
default: test lint docs

test:
    cargo test --workspace

lint:
    cargo fmt --all --check
    cargo clippy --workspace --all-targets -- -D warnings

docs:
    RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps

# Writes the committed code of the schemas anew. Needs `capnp`, `capnpc-rust` and `cargo-typify`.
generate:
    etc/generate crates/catkin-schema/src/generated
