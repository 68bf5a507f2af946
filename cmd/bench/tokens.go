package main

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/lab/tokens"
)

// tokenRunDuration is how long callers send requests in one run.
const tokenRunDuration = 40 * time.Second

// ablation is the router with one mechanism left out.
type ablation struct {
	name    string
	without dispatch.Disabled
}

var ablations = []ablation{
	{"all", dispatch.Disabled{}},
	{"without shares", dispatch.Disabled{Shares: true}},
	{"without refusals for the wait", dispatch.Disabled{Refusals: true}},
	{"without knowledge of kept parts", dispatch.Disabled{Parts: true}},
	{"without fetching kept parts", dispatch.Disabled{Fetch: true}},
	{"without a scheduler, each router alone", dispatch.Disabled{Scheduler: true}},
	{"without preferring kept connections", dispatch.Disabled{ConnReuse: true}},
	{"without learning the engines' times", dispatch.Disabled{Learning: true}},
}

// tokenTable prints the table of the routed interface: for each scenario, the results with
// all mechanisms and without each one.
func tokenTable(seeds int) {
	fmt.Println("\n| scenario | way | owed, served in time | worst organisation | served beyond what is owed | engines reading | late | refused | shared tokens read again | fetched | control B/s a router | first event predicted ms (50, 90, 99 in 100) | seen |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	scenarios := tokens.Standard(tokenRunDuration)
	var names []string
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	rows := make([]string, len(names)*len(ablations))
	var work []func()
	for i, name := range names {
		for j, a := range ablations {
			work = append(work, func() {
				s := scenarios[name]
				s.Disabled = a.without
				rows[i*len(ablations)+j] = tokenLine(name, a.name, s, seeds)
			})
		}
	}
	runParallel(work)
	for _, row := range rows {
		fmt.Println(row)
	}
}

// tokenLine returns a row of the table: means over the seeds, except for the worst
// organisation, which is the minimum.
func tokenLine(scenario, ablation string, s tokens.Scenario, seeds int) string {
	var sum tokens.Result
	sum.Least = 1
	for seed := 1; seed <= seeds; seed++ {
		s.Seed = uint64(seed)
		r, err := s.Run()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		sum.Owed += r.Owed
		sum.Beyond += r.Beyond
		sum.Busy += r.Busy
		sum.Asked += r.Asked
		sum.Late += r.Late
		sum.Refused += r.Refused
		sum.ReadAgain += r.ReadAgain
		sum.Fetched += r.Fetched
		sum.Control += r.Control
		sum.Least = min(sum.Least, r.Least)
		for i := range r.Seen {
			sum.Seen[i] += r.Seen[i] / float64(seeds)
			sum.Predicted[i] += r.Predicted[i] / float64(seeds)
		}
	}
	n := float64(seeds)
	return fmt.Sprintf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %d | %.0f | %.0f, %.0f, %.0f | %.0f, %.0f, %.0f |", scenario, ablation, sum.Owed/n, sum.Least, sum.Beyond/n, sum.Busy/n,
		float64(sum.Late)/float64(sum.Asked), float64(sum.Refused)/float64(sum.Asked), sum.ReadAgain/seeds, sum.Fetched/seeds, sum.Control/n,
		sum.Predicted[0], sum.Predicted[1], sum.Predicted[2], sum.Seen[0], sum.Seen[1], sum.Seen[2])
}
