#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are Python programs, which need only the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for source in stage2.py {6,7,8,9,10}/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
