#!/bin/sh
# Builds the one stand-in that the scripts of all cases start. Standard library only, no network.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
exec rustc --edition 2021 -O -o "$here/bin/standin" "$here/standin/main.rs"
