#!/bin/bash
# Builds the stand-ins of the second review, the project's own among them.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked
