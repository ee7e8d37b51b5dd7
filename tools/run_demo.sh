#!/usr/bin/env bash
# Demonstrates a complete deployment on one machine: a platform, engines, a plain
# service and three instances in three failure domains, each in its own process.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
tools/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null

bin=$root/build/bin
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local log=$1
  shift
  "$@" >"$work/$log.out" 2>"$work/$log.log" &
  pids+=($!)
}

wait_for() {
  for _ in $(seq 1 200); do
    if curl -sf -o /dev/null "$1"; then
      return 0
    fi
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

export POMELORING_PLATFORM=127.0.0.1:19000
export POMELORING_ADMIN=127.0.0.1:18401,127.0.0.1:18402,127.0.0.1:18403
export POMELORING_ADMIN_KEY=operators-key

start platform "$bin/pomeloring-standin-platform" --address 127.0.0.1:19000
for i in 1 2 3; do
  start "engine-$i" "$bin/pomeloring-standin-engine" --address "127.0.0.1:1910$i"
done
start ledger "$bin/pomeloring-standin-plain" --address 127.0.0.1:19201

domains=(koper piran izola)
node_pids=()
for i in 1 2 3; do
  cat >"$work/node-$i.json" <<JSON
{
  "name": "entry-$i",
  "failure_domain": "${domains[$((i - 1))]}",
  "caller_address": "127.0.0.1:1810$i",
  "link_address": "127.0.0.1:1820$i",
  "probe_address": "127.0.0.1:1830$i",
  "admin_address": "127.0.0.1:1840$i",
  "admin_key_sha256": "$(printf %s operators-key | sha256sum | cut -d' ' -f1)",
  "platform_address": "127.0.0.1:19000",
  "peers": ["127.0.0.1:18301", "127.0.0.1:18302", "127.0.0.1:18303"],
  "keep_addresses_s": 1
}
JSON
  start "entry-$i" "$bin/pomeloring-node" --settings "$work/node-$i.json"
  node_pids+=($!)
done
for i in 1 2 3; do
  wait_for "http://127.0.0.1:1840$i/healthz"
done

echo "== publish examples/sodarna.json with what runs here"
python3 - "$work/demo.json" <<'PY'
import json, sys
config = json.load(open("examples/sodarna.json"))
for service in config["services"]:
    count = 3 if service["kind"] == "model" else 1
    service["upstreams"] = service["upstreams"][:count]
json.dump(config, open(sys.argv[1], "w"))
PY
"$bin/pomeloring-ctl" check "$work/demo.json"
"$bin/pomeloring-ctl" publish "$work/demo.json" --base 0
for i in 1 2 3; do
  wait_for "http://127.0.0.1:1840$i/readyz"
done

echo "== the entries"
for _ in $(seq 1 100); do
  entries=$(curl -s http://127.0.0.1:18101/v1/entries)
  (($(grep -o '"address"' <<<"$entries" | wc -l) == 3)) && break
  sleep 0.05
done
echo "$entries"

# Prints the number of the instance that schedules a service, according to its
# own list of cells. Prints nothing before the service has a cell.
scheduler_of() {
  for i in 1 2 3; do
    if "$bin/pomeloring-ctl" --admin "127.0.0.1:1840$i" --json show cells |
      grep -q "\"cell\":\"$1/[^}]*\"is_scheduler\":true"; then
      echo "$i"
      return
    fi
  done
}

ask() {
  curl -sN -D "$work/head" "http://127.0.0.1:1810$1/v1/chat/completions" \
    -H "Authorization: Bearer cellar-north-key" \
    -H "Pomeloring-Class: cellar-question" -H "Content-Type: application/json" \
    -d '{"model":"cask-7b","stream":'"$2"',"max_tokens":6,"messages":[{"role":"user","content":"How old is cask 12?"}]}'
}

stamp() {
  curl -s -D "$work/head" "http://127.0.0.1:1810$1/ledger/stamps" \
    -H "Authorization: Bearer bottling-key" -H "Idempotency-Key: $2" \
    -H "Pomeloring-Class: ledger-stamp" -d "$3"
}

route() {
  grep -i '^pomeloring-\(instance\|upstream\|replayed\)' "$work/head" |
    tr -d '\r' | tr '\n' ' '
}

ask 1 false >/dev/null
stamp 1 warm-up warm-up >/dev/null
model_scheduler=$(scheduler_of cellar-model)
ledger_scheduler=$(scheduler_of ledger)
via_model=$((model_scheduler % 3 + 1))
via_ledger=$((ledger_scheduler % 3 + 1))

echo "== a streamed question via entry-$via_model, scheduled by entry-$model_scheduler"
ask "$via_model" true >"$work/answer"
sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$work/answer" | tr -d '\n'
grep -q '^data: \[DONE\]' "$work/answer"
echo "[whole] $(route)"

echo "== a ledger stamp via entry-$via_ledger, scheduled by entry-$ledger_scheduler"
prefix=$(curl -s "http://127.0.0.1:1810$via_ledger/v1/entries" |
  grep -o "\"instance\":\"entry-$via_ledger\"[^}]*" |
  sed 's/.*"key_prefix":"\([^"]*\)".*/\1/')
stamp "$via_ledger" "${prefix}stamp-1" "bottle 4711"
echo " $(route)"
other=$((via_ledger % 3 + 1))
echo "== the same stamp again via entry-$other: not run twice"
stamp "$other" "${prefix}stamp-1" "bottle 4711"
echo " $(route)"
echo "runs: $(curl -s http://127.0.0.1:19201/counts)"
curl -s http://127.0.0.1:19201/counts | grep -q '"bottle 4711":1'

echo "== what the engines were ordered, by the instance that orders them"
for i in 1 2 3; do
  "$bin/pomeloring-ctl" --admin "127.0.0.1:1840$i" show engines
done
echo "== the time line of the stamp"
request=$(grep -i '^pomeloring-request-id' "$work/head" | tr -d '\r' |
  cut -d' ' -f2 || true)
"$bin/pomeloring-ctl" timeline --class ledger-stamp --last 60 --kind upstream-started
"$bin/pomeloring-ctl" timeline ${request:+--request "$request"} | tail -n 12

echo "== stop all instances"
for pid in "${node_pids[@]}"; do
  kill -TERM "$pid"
done
for pid in "${node_pids[@]}"; do
  code=0
  wait "$pid" || code=$?
  echo "instance process $pid ended with exit code $code"
  ((code == 0)) || exit 1
done
pids=("${pids[@]:0:5}")
echo "demo: done"
