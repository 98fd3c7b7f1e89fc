#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 -B case.py &
case_pid=$!
trap 'kill -TERM "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
status=$?
if [ "$status" -gt 128 ]; then # A signal has ended the wait, not the case.
    wait "$case_pid"
    status=$?
fi
case $status in
10) exit 1 ;;
0) exit 0 ;;
*) exit 2 ;;
esac
