#!/usr/bin/env bash
# Starts a small fleet and its stand-ins on loopback, sends a plain call and a
# stream through it, shows the answers and the status, and stops everything.
# Exits 0 only if every step was right.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
pids=()
routers=()

finish() {
	code=$?
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	[ "$code" = 0 ] || { echo "demo failed; router logs:"; cat "$bin"/*.log; }
	rm -rf "$bin"
	exit "$code"
}
trap finish EXIT

echo "== build"
go build -o "$bin/" ./cmd/...

start() { "$@" 2>"$bin/$(basename "$1")-${#pids[@]}.log" & pids+=($!); }

echo "== start a platform, two engines, a plain service"
start "$bin/standin" -kind platform -listen 127.0.0.1:17000
start "$bin/standin" -kind engine -listen 127.0.0.1:17201
start "$bin/standin" -kind engine -listen 127.0.0.1:17202
start "$bin/standin" -kind plain -listen 127.0.0.1:17203

echo "== start three routers"
places=(hakata-a hakata-b kokura)
for i in 0 1 2; do
	cat >"$bin/r$i.ini" <<INI
[router]
peer_address = 127.0.0.1:1710$i
place = ${places[$i]}
caller_address = 127.0.0.1:1810$i
caller_url = http://127.0.0.1:1810$i
operator_address = 127.0.0.1:1910$i
[fleet]
seeds = 127.0.0.1:17100, 127.0.0.1:17101, 127.0.0.1:17102
secret = a-secret-for-the-demo-only
[platform]
url = http://127.0.0.1:17000
[stop]
balancer_wait = 500ms
INI
	"$bin/silverswitchd" -check "$bin/r$i.ini"
	start "$bin/silverswitchd" -settings "$bin/r$i.ini"
	routers+=($!)
done

waitfor() { # waitfor URL: until it answers 200
	for _ in $(seq 100); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.1
	done
	echo "no answer from $1"
	return 1
}

echo "== publish a template and two organisations"
"$bin/silverswitch" check demo/fleet
"$bin/silverswitch" pack -revision 1 demo/fleet >"$bin/version"
waitfor http://127.0.0.1:19100/healthz
curl -sf -T "$bin/version" http://127.0.0.1:17000/v1/values/configuration
printf '{"vms":[%s]}' '{"name":"r0","role":"router","address":"127.0.0.1:17100","state":"live"},{"name":"r1","role":"router","address":"127.0.0.1:17101","state":"live"},{"name":"r2","role":"router","address":"127.0.0.1:17102","state":"live"}' |
	curl -sf -T - http://127.0.0.1:17000/v1/values/vms
for i in 0 1 2; do waitfor "http://127.0.0.1:1910$i/readyz"; done

echo "== a plain call that may run at most once"
sleep 6 # witnesses vouch for keys minted 5 s after their start
"$bin/silverswitch" call -key demo-key-nishi -app print-order -plain -path /orders -body '{"boxes":2}' -idempotency-key new http://127.0.0.1:18100

echo "== a stream, entering by each router; the third stands in a place of chaya-temple only"
for i in 0 1 2; do
	"$bin/silverswitch" call -key demo-key-chaya -app quiz-hints -stream -max-tokens 12 -body "hint $i" "http://127.0.0.1:1810$i" | tee "$bin/stream"
	grep -q "re:hint $i w1" "$bin/stream"
	grep -q 'outcome answered' "$bin/stream"
done

echo "== nishi-school may not be handled in kokura: redirected to a router that may"
code=$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer demo-key-nishi' http://127.0.0.1:18102/v1/models)
[ "$code" = 307 ]
echo "status $code"

echo "== status"
"$bin/silverswitch" status http://127.0.0.1:19100 http://127.0.0.1:19101 http://127.0.0.1:19102

echo "== a planned stop"
for p in "${routers[@]}"; do kill -TERM "$p"; done
for p in "${routers[@]}"; do wait "$p"; done
echo "demo ok"
