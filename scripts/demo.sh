#!/usr/bin/env bash
# Runs one job of mixed tasks on real processes: a stand-in platform, twelve
# stand-in upstreams and nine instances in three data centres.
set -euo pipefail
BIN=${1:-build}
WORK=$(mktemp -d)
PIDS=()
stop_all() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_all EXIT

PLATFORM=127.0.100.1:7979
"$BIN/standin-platform" --listen $PLATFORM > "$WORK/platform.out" & PIDS+=($!)

UPSTREAMS=
for dc in 1 2 3; do
  for n in 1 2 3 4; do
    at=127.0.10$dc.$n:7171
    speed=$(awk "BEGIN { print 0.5 * $n }")
    "$BIN/standin-upstream" --listen $at --slots 8 --speed "$speed" --seed "$dc$n" \
      > "$WORK/upstream-$dc-$n.out" & PIDS+=($!)
    UPSTREAMS+="{\"address\":\"$at\",\"data_centre\":\"dc$dc\",\"slots\":8,\"accelerators\":0,\"state\":\"live\"},"
  done
done

INSTANCES=
for dc in 1 2 3; do
  for n in 1 2 3; do
    at=127.0.11$dc.$n:7070
    INSTANCES+="{\"address\":\"$at\",\"data_centre\":\"dc$dc\",\"state\":\"live\"},"
    cat > "$WORK/instance-$dc-$n.json" <<SETTINGS
{
  // One of nine instances of the demo.
  "listen": "$at",
  "data_centre": "dc$dc",
  "fleet_key": "demo key, not a secret",
  "peers": [{"address": "127.0.111.1:7070", "data_centre": "dc1"}],
  "platform": "$PLATFORM",
  "log": {"level": "error"}
}
SETTINGS
    "$BIN/snipeshuntd" --settings "$WORK/instance-$dc-$n.json" & PIDS+=($!)
  done
done

post() { # address path body
  local host=${1%:*} port=${1#*:}
  exec 3<>"/dev/tcp/$host/$port"
  printf 'POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "$1" "${#3}" "$3" >&3
  cat <&3 > /dev/null
  exec 3>&-
}
for _ in $(seq 50); do
  if post $PLATFORM /v1/list "{\"instances\":[${INSTANCES%,}],\"upstreams\":[${UPSTREAMS%,}]}" 2>/dev/null; then break; fi
  sleep 0.1
done

cat > "$WORK/job.json" <<JOB
{"team": "rawahel", "patience_ms": 30000, "tasks": [
  {"kind": "lookup", "payload": "station 12 due? run_ms=80"},
  {"kind": "lookup", "payload": "station 14 due? run_ms=120"},
  {"kind": "confirm", "payload": "refill of station 7 run_ms=200"},
  {"kind": "swap", "payload": "book a swap at station 9 run_ms=400"},
  {"kind": "retranslate", "payload": "notice 31 to Otjiherero run_ms=2500"},
  {"kind": "lookup", "payload": "station 15 due? run_ms=60"}]}
JOB

export SNIPESHUNT_INSTANCES=127.0.111.1:7070,127.0.112.2:7070,127.0.113.3:7070
# The list lags by two seconds; until it has arrived, submissions are rejected
# as not run, and each repetition uses a new ticket.
for _ in $(seq 30); do
  if "$BIN/snipeshunt" submit "$WORK/job.json" > "$WORK/answer" 2> "$WORK/error"; then
    echo "Whole answer:"
    cat "$WORK/answer"
    echo "Instances:"
    "$BIN/snipeshunt" instances
    exit 0
  fi
  sleep 0.3
done
echo "The job was not answered:" >&2
cat "$WORK/error" >&2
exit 1
