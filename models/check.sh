#!/usr/bin/env bash
# Checks each model, then that the check fails with each mechanism disabled.
# Prints one line per run; exits with 1 if a result is not as expected.
set -euo pipefail
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
cp ./*.pml "$WORK"
cd "$WORK"
run() { # model, expected number of errors, macros...
  local model=$1 expected=$2
  shift 2
  spin -a "$@" "$model.pml" > /dev/null
  gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c 2> /dev/null
  ./pan -m100000 > out 2>&1 || true
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out | tail -1)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
  echo "$model model ${*:-all mechanisms}: $states states, errors: $errors"
  if grep -q "search depth too small" out || [ "$errors" != "$expected" ]; then
    echo "expected $expected errors in a complete search" >&2
    exit 1
  fi
}
run handover 0
for mechanism in NO_DEDUP NO_FLOOR NO_TOMBSTONE NO_INCARNATION EAGER_REPLACE; do
  run handover 1 "-D$mechanism"
done
run stop 0
for mechanism in NO_CLOSE NO_REPEAT; do
  run stop 1 "-D$mechanism"
done
run lease 0
for mechanism in ROUNDED_DRIFT NO_CONTACT NO_READ_BOUND NO_START_CHECK; do
  run lease 1 "-D$mechanism"
done
