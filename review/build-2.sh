#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
