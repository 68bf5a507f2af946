#!/usr/bin/env bash
# Starts a store, modelled engines and three routers of the routed interface on
# loopback, sends streams at a rate, shows what callers saw and stops everything.
#   RATE=30 SPAN=10s ENGINES=4 demo/load.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
pids=()

finish() {
	code=$?
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	[ "$code" = 0 ] || { echo "load failed; logs:"; tail -n 20 "$bin"/*.log; }
	rm -rf "$bin"
	exit "$code"
}
trap finish EXIT

go build -o "$bin/" ./cmd/...
"$bin/standin" -kind routed -engines "${ENGINES:-4}" -listen 127.0.0.1:17400 >"$bin/standin.log" 2>&1 & pids+=($!)
urls=()
for i in 0 1 2; do
	cat >"$bin/r$i.ini" <<INI
[router]
peer_address = 127.0.0.1:1741$i
place = z1
caller_address = 127.0.0.1:1742$i
caller_url = http://127.0.0.1:1742$i
operator_address = 127.0.0.1:1743$i
[fleet]
seeds = 127.0.0.1:17410, 127.0.0.1:17411, 127.0.0.1:17412
secret = a-secret-for-the-demo-only
[platform]
url = http://127.0.0.1:17400
kind = store
[stop]
balancer_wait = 300ms
INI
	"$bin/silverswitchd" -settings "$bin/r$i.ini" >"$bin/r$i.log" 2>&1 & pids+=($!)
	urls+=("http://127.0.0.1:1742$i")
done
for i in 0 1 2; do
	for _ in $(seq 100); do
		curl -sf -o /dev/null "http://127.0.0.1:1743$i/readyz" && break
		sleep 0.1
	done
done
"$bin/silverswitch" load -routers "$(IFS=,; echo "${urls[*]}")" -host load.example -path /generate/ -keys key-a,key-b -rate "${RATE:-30}" -for "${SPAN:-10s}"
