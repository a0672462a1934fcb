#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 6 to 10 start. It needs rustc alone: no package, no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p bin
exec rustc --edition 2021 -O -o bin/standin main.rs
