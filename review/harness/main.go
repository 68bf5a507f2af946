//go:build review

// Command harness runs the cases of the review that are no days of the bench. It starts routers
// as separate processes with the command and the settings template of the deploy file, on
// loopback addresses and the real clock; the store, the servers and the requesters are stand-ins
// within this process. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// bounds are those of the site kobundo-kyu that the settings template takes.
var bounds = map[string]string{"retry_budget_ratio": "0.2", "budget_window_s": "10", "retry_budget_slack": "52", "grace_s": "8"}

// caseRun is one case. trouble is false for a run without its disruption.
type caseRun struct {
	rec     *record
	led     *ledger
	store   *store
	dir     string
	trouble bool
}

var cases = map[string]func(*caseRun) (broken bool, err error){
	"large-bodies": largeBodies,
	"lapse":        lapse,
	"limits":       limits,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	s, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c := &caseRun{rec: rec, led: newLedger(rec), store: s, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("case %s, with the disruption: %v, from %s on", *name, c.trouble, rec.start.UTC().Format("15:04:05.000"))
	broken, err := f(c)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("RULE BROKEN")
		return exitBroken
	}
	rec.say("rule held")
	return exitHeld
}

// config returns the operator's configuration with one plain service.
func config(version int, service, kind string, attempts int, timeout, target time.Duration, limits map[string]any) map[string]any {
	l := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 390000}
	for k, v := range limits {
		l[k] = v
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": host, "prefix": "/puxa403/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": target.Milliseconds(), "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   l,
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1},
			map[string]any{"name": "nino112", "api_keys": []string{otherKey}, "priority": 1},
		},
	}
}

const (
	host = "ficu95.example"
	path = "/puxa403/2f"

	apiKey   = "asnmgkcuyj8pjbvk9m68"
	otherKey = "k7b2ex5wa5xwyhks8nbk"
)
