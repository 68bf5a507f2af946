// Command bench measures the fairness gap, the utilisation of slots while requests wait,
// and the control traffic, for the router's scheduling strategy and its baselines under
// each fault. The decision core takes the time as an argument, so the results do not depend
// on the machine.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"

	"github.com/silverswitch/silverswitch/internal/lab"
	"github.com/silverswitch/silverswitch/internal/version"
)

// row holds the worst results of a strategy, fault and unit over all seeds.
type row struct {
	Strategy    string       `json:"way"`
	Fault       lab.Fault    `json:"fault"`
	Unit        version.Unit `json:"unit"`
	Gap         float64      `json:"gap_largest_requests"`
	Utilisation float64      `json:"utilisation"`
	Control     float64      `json:"control_bytes_per_second_per_router"`
	Busiest     float64      `json:"control_bytes_per_second_busiest_router"`
	Strays      int          `json:"starts_outside_allowed_places"`
}

func main() {
	seeds := flag.Int("seeds", 3, "number of fixed seeds, 1 to `N`")
	only := flag.String("only", "", "print one table: slots or tokens")
	asJSON := flag.Bool("json", false, "print JSON instead of a table")
	flag.Parse()
	if *only != "tokens" {
		slotTable(*seeds, *asJSON)
	}
	if *only != "slots" && !*asJSON {
		tokenTable(*seeds)
	}
}

// slotTable prints the table of the application interface.
func slotTable(seeds int, asJSON bool) {
	var rows []*row
	var work []func()
	var mu sync.Mutex
	for _, unit := range []version.Unit{version.UnitTokens, version.UnitAnswered} {
		for _, fault := range lab.Faults {
			for _, strategy := range lab.Strategies(lab.Routers) {
				r := &row{Strategy: strategy.Name, Fault: fault, Unit: unit, Utilisation: 1}
				rows = append(rows, r)
				for seed := 1; seed <= seeds; seed++ {
					s := lab.Scenario{Strategy: strategy, Fault: fault, Unit: unit, Seed: uint64(seed)}
					work = append(work, func() {
						res := s.Run()
						mu.Lock()
						defer mu.Unlock()
						r.keepWorst(res)
					})
				}
			}
		}
	}
	runParallel(work)
	printRows(rows, asJSON)
}

// keepWorst merges a result into the row.
func (r *row) keepWorst(s lab.Result) {
	r.Gap = max(r.Gap, s.Gap)
	r.Utilisation = min(r.Utilisation, s.Utilisation)
	r.Control = max(r.Control, s.Control)
	r.Busiest = max(r.Busiest, s.Busiest)
	r.Strays += s.Strays
}

// runParallel runs all functions, on half of the cores at once.
func runParallel(work []func()) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, f := range work {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			f()
			<-slots
		}()
	}
	wg.Wait()
}

// printRows prints the rows as a Markdown table or as JSON.
func printRows(rows []*row, asJSON bool) {
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(rows)
		return
	}
	fmt.Println("| unit | fault | way | gap, largest requests | slots used while work waits | control B/s a router | busiest router | starts out of place |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Printf("| %s | %s | %s | %.2f | %.3f | %.0f | %.0f | %d |\n", r.Unit, r.Fault, r.Strategy, r.Gap, r.Utilisation, r.Control, r.Busiest, r.Strays)
	}
}
