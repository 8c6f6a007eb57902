#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs, so this only compiles them.
set -e
cd "$(dirname "$0")"
for source in lib/rig.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
