#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start: the program. Their stand-ins are Python
# programs of the standard library and need no build.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
