package tool

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/process"
)

// printRouted prints the status of routers of the routed interface: each router, then the
// working set of each service, and the evacuated places and cold upstreams that any of the
// routers reports.
func printRouted(out io.Writer, views []process.Status, now time.Time) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ROUTER\tREADY\tVERSION\tREVISION\tROUTERS\tREQUESTS\tPLACED\tREFUSED\tROLE")
	for _, v := range views {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", v.Router, v.Ready, v.Version, v.Revision, len(v.Routers), v.Running, v.Counts.Placed, v.Counts.Refused, describeRole(v.Role))
	}
	printWorkingSets(w, views)
	printEvacuated(w, views, now)
	printCold(w, views)
}

// describeRole lists what a router does for the fleet.
func describeRole(r dispatch.Role) string {
	var out []string
	if r.ReadsStore {
		out = append(out, "reads store")
	}
	if r.Relays {
		out = append(out, "relay")
	}
	for _, service := range r.Schedules {
		out = append(out, "schedules "+service)
	}
	return cmp.Or(strings.Join(out, ", "), "-")
}

// printWorkingSets prints how many upstreams of each service and place are in the working
// set, as reported by the service's scheduler.
func printWorkingSets(w io.Writer, views []process.Status) {
	type counts struct{ used, all int }
	sets := map[string]counts{}
	for _, v := range views {
		for _, u := range v.Upstreams {
			if !slices.Contains(v.Role.Schedules, u.Service) {
				continue
			}
			c := sets[u.Service+"\t"+u.Place]
			c.all++
			if u.InUse {
				c.used++
			}
			sets[u.Service+"\t"+u.Place] = c
		}
	}
	if len(sets) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSERVICE\tPLACE\tIN USE\tOF")
	for _, name := range sortedKeys(sets) {
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, sets[name].used, sets[name].all)
	}
}

// evacuatedPlace is an evacuated place as the routers report it.
type evacuatedPlace struct {
	revision uint64
	since    time.Time // the earliest that a router reports
	knownBy  map[wire.NodeID]bool
}

// printEvacuated prints the evacuated places, and the routers that don't know of each yet.
func printEvacuated(w io.Writer, views []process.Status, now time.Time) {
	places := map[string]*evacuatedPlace{}
	for _, v := range views {
		for _, e := range v.Evacuated {
			p := places[e.Place]
			if p == nil {
				p = &evacuatedPlace{since: e.Since, knownBy: map[wire.NodeID]bool{}}
				places[e.Place] = p
			}
			p.revision = max(p.revision, e.Revision)
			p.knownBy[v.Router] = true
			if e.Since.Before(p.since) {
				p.since = e.Since
			}
		}
	}
	if len(places) == 0 {
		return
	}
	fmt.Fprintln(w, "\nEVACUATED\tREVISION\tSINCE\tNOT HEARD BY")
	for _, name := range sortedKeys(places) {
		p := places[name]
		var missing []string
		for _, v := range views {
			if !p.knownBy[v.Router] {
				missing = append(missing, string(v.Router))
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", name, p.revision, now.Sub(p.since).Round(time.Second), cmp.Or(strings.Join(missing, " "), "-"))
	}
}

// printCold prints the cold upstreams. Each is shown as reported by the router that may place
// most requests there.
func printCold(w io.Writer, views []process.Status) {
	cold := map[string]dispatch.UpstreamState{}
	for _, v := range views {
		for _, u := range v.Upstreams {
			if u.Cold == nil {
				continue
			}
			if known, seen := cold[u.ID]; !seen || u.Cold.Allowed > known.Cold.Allowed {
				cold[u.ID] = u
			}
		}
	}
	if len(cold) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCOLD\tSERVICE\tPLACE\tWHY\tFOR\tALLOWED A SECOND\tPLACED IN THE LAST")
	for _, id := range sortedKeys(cold) {
		u := cold[id]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d ms\t%d\t%d\n", id, u.Service, u.Place, u.Cold.Why, u.Cold.ForMS, u.Cold.Allowed, u.Cold.Placed)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
