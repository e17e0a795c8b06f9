#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review_2. Needs only what the deploy file's build needs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$root/review/stand_ins_2" -B "$root/target/review_2" -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review_2" -j8 --target review_case
