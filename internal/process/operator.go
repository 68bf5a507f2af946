package process

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// operatorHandler returns the operators' handler of the application interface: health,
// readiness, status and metrics.
func operatorHandler(ctrl *AppController, reg metrics.Registry) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ctrl.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ctrl.View()) // a write fails only when the operator has disconnected
	})
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeMetrics(w, ctrl, reg)
	})
	return r
}

// writeMetrics writes the registry and the control state in the Prometheus text format.
func writeMetrics(w http.ResponseWriter, ctrl *AppController, reg metrics.Registry) {
	lines := map[string]string{}
	if v := ctrl.View(); v != nil {
		lines["silverswitch_configuration_revision"] = fmt.Sprintf("%d", v.Revision)
		lines["silverswitch_requests_waiting"] = fmt.Sprintf("%d", v.Waiting)
		lines["silverswitch_requests_running"] = fmt.Sprintf("%d", v.Running)
		lines["silverswitch_grants_used"] = fmt.Sprintf("%d", v.Entry.GrantsUsed)
		lines["silverswitch_grants_returned"] = fmt.Sprintf("%d", v.Entry.GrantsReturned)
		lines["silverswitch_grants_late"] = fmt.Sprintf("%d", v.Entry.GrantsLate)
		lines["silverswitch_credits_used"] = fmt.Sprintf("%d", v.Entry.CreditsUsed)
		lines["silverswitch_requests_held"] = fmt.Sprintf("%d", len(v.Held))
		lines["silverswitch_pauses"] = fmt.Sprintf("%d", v.Counts.Woke)
		lines["silverswitch_same_revision_values"] = fmt.Sprintf("%d", v.Counts.SameRevision)
	}
	writeRegistry(w, reg, lines)
}

// quantiles are the quantiles shown of each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeRegistry writes the metrics of a registry and additional lines in the Prometheus
// text format, sorted by name.
func writeRegistry(w io.Writer, reg metrics.Registry, more map[string]string) {
	lines := map[string]string{}
	maps.Copy(lines, more)
	reg.Each(func(name string, m any) {
		name = promName(name)
		switch m := m.(type) {
		case metrics.Counter:
			lines[name] = fmt.Sprintf("%d", m.Count())
		case metrics.Gauge:
			lines[name] = fmt.Sprintf("%d", m.Value())
		case metrics.GaugeFloat64:
			lines[name] = fmt.Sprintf("%g", m.Value())
		case metrics.Timer:
			t := m.Snapshot()
			lines[name+"_seconds_count"] = fmt.Sprintf("%d", t.Count())
			for i, v := range t.Percentiles(quantiles) {
				lines[fmt.Sprintf("%s_seconds{quantile=\"%g\"}", name, quantiles[i])] = fmt.Sprintf("%.6f", v/float64(time.Second))
			}
		}
	})
	names := make([]string, 0, len(lines))
	for n := range lines {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintln(w, n, lines[n])
	}
}

func promName(name string) string {
	return "silverswitch_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
