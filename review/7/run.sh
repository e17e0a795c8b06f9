#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
cd "$root" || exit 2
[ -x target/review_2/review_case ] && [ -x target/services/sassafras_sessiond/sassafras_sessiond ] || exit 2
work=$(mktemp -d) || exit 2
# A job of its own has a process group of its own, which includes the daemons.
set -m
target/review_2/review_case token "$root" "$work" "$case_folder/record.txt" &
job=$!
trap 'kill -KILL -- "-$job" 2>/dev/null; rm -rf "$work"' EXIT
for _ in $(seq 1150); do
    kill -0 "$job" 2>/dev/null || break
    sleep 0.1
done
kill -0 "$job" 2>/dev/null && exit 2
wait "$job"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
