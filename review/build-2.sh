#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the build of deploy/system.toml: the project's stand-in
# of the store. The other stand-ins are Python (standard library only) and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p medlarpoint_standin
python3 -m py_compile review/standins-2/rig.py
