// Command capacity measures what a router spends on control traffic, CPU and memory as the
// fleet grows, by driving many decision cores in one process. Each slope varies one
// dimension of the fleet.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/silverswitch/silverswitch/internal/lab"
)

// slope is a series of sizes in which one dimension grows.
type slope struct {
	Name  string
	Sizes []lab.Size
}

// Ratios of the planned fleet.
const (
	enginesPerNode  = 1600.0 / 360
	orgsPerNode     = 390.0 / 360
	requestsPerNode = 3.9 // requests/s by one node; backlogged organisations bring it to 4.7
)

// planned returns the planned fleet scaled to a number of nodes.
func planned(nodes int) lab.Size {
	orgs := max(10, int(orgsPerNode*float64(nodes)))
	return lab.Size{Nodes: nodes, Engines: max(44, int(enginesPerNode*float64(nodes))), Orgs: orgs, Backlogged: orgs / 10, PerNode: requestsPerNode, Seconds: 30}
}

// slopes returns the slopes to measure. Those over the number of nodes contain only sizes
// from smallest to largest.
func slopes(smallest, largest int) []slope {
	var idle, busy, backlog, rate, orgs slope
	idle.Name, busy.Name = "nodes, no requests", "nodes, all else in proportion"
	backlog.Name, rate.Name, orgs.Name = "backlogged organisations, 60 nodes", "requests/s a node, 60 nodes, no backlog", "organisations, 60 nodes"
	for _, n := range []int{8, 24, 60, 120, 360} {
		if n < smallest || n > largest {
			continue
		}
		s := planned(n)
		busy.Sizes = append(busy.Sizes, s)
		s.PerNode, s.Backlogged = 0, 0
		idle.Sizes = append(idle.Sizes, s)
	}
	for _, k := range []int{0, 3, 6, 13, 26} {
		s := planned(60)
		s.Backlogged = k
		backlog.Sizes = append(backlog.Sizes, s)
	}
	for _, r := range []float64{0.5, 1, 2, 3.9} {
		s := planned(60)
		s.Backlogged, s.PerNode = 0, r
		rate.Sizes = append(rate.Sizes, s)
	}
	for _, k := range []int{30, 65, 130, 390} {
		s := planned(60)
		s.Orgs, s.Backlogged = k, 6
		orgs.Sizes = append(orgs.Sizes, s)
	}
	return []slope{idle, rate, backlog, orgs, busy}
}

func main() {
	asJSON := flag.Bool("json", false, "print JSON instead of tables")
	smallest := flag.Int("from", 8, "smallest `number` of nodes")
	largest := flag.Int("to", 360, "largest `number` of nodes")
	only := flag.String("slope", "", "only slopes whose name contains this")
	flag.Parse()
	enc := json.NewEncoder(os.Stdout)
	for _, s := range slopes(*smallest, *largest) {
		if !strings.Contains(s.Name, *only) {
			continue
		}
		if !*asJSON {
			fmt.Printf("\n%s\n\n| nodes | engines | organisations | backlogged | requests/s | running | waiting | sent B/s a node | busiest B/s | datagrams/s a node | CPU %% of a core | heap MB a node |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n", s.Name)
		}
		for _, size := range s.Sizes {
			c := size.Measure()
			if *asJSON {
				_ = enc.Encode(c) // nothing can be done about an error of standard output
				continue
			}
			fmt.Printf("| %d | %d | %d | %d | %.0f | %d | %d | %.0f | %.0f | %.1f | %.2f | %.2f |\n", c.Nodes, c.Engines, c.Orgs, c.Backlogged,
				c.Requests, c.Running, c.Waiting, c.Sent, c.Busiest, c.Datagrams, 100*c.CPU, c.HeapMB)
		}
	}
}
