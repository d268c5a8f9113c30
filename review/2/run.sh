#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")"
python3 case.py &
pid=$!
trap 'kill -TERM "$pid" 2> /dev/null' TERM INT
wait "$pid"
code=$?
while kill -0 "$pid" 2> /dev/null; do
    wait "$pid"
    code=$?
done
# case.py ends with 11 for a broken rule, since Python itself ends with 1 after an error.
case "$code" in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
