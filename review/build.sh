#!/bin/sh
# Builds the stand-ins that the cases start: store, instances, clients and host control.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
