#!/bin/sh
# Builds the stand-ins of review/11 to review/15: they are Python programs, which are compiled to check them.
cd "$(dirname "$0")" || exit 1
for file in stand_ins_3/*.py 1[1-5]/run.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
