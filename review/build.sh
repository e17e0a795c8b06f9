#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs of this folder and need no package; the daemons come from
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins ./[1-5]/case.py
test -x ../target/services/sassafras_sessiond/sassafras_sessiond
