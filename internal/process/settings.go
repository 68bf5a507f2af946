// Package process implements the router process: its settings, the control goroutine, the
// listeners, and an orderly start and stop.
package process

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/inifile"
	"github.com/silverswitch/silverswitch/internal/request"
)

// ErrSettings is the type of errors in the settings.
var ErrSettings = errorx.NewNamespace("process").NewType("settings")

// Settings are the settings of the process. The comment at each field names its key in the
// settings file. Only the fields in reloadable may change while the process runs.
type Settings struct {
	Peer     string              // [router] peer_address: UDP and TCP, also the router's identity
	Place    string              // [router] place
	Callers  string              // [router] caller_address
	Public   string              // [router] caller_url
	Operator string              // [router] operator_address
	Seeds    []wire.NodeID       // [fleet] seeds
	Secret   string              // [fleet] secret
	First    bool                // [fleet] first_start: true at the first start of the whole fleet
	Platform string              // [platform] url
	Kind     string              // [platform] kind: values or store
	History  time.Duration       // [platform] history: for which the store keeps the history of its changes, 0 for none
	Metrics  string              // [metrics] address of an additional metrics listener, "" for none
	Relay    string              // [relay] address for connections relayed by other routers, "" to relay none
	Ready    string              // [ready] address of an additional readiness listener, "" for none
	ReadyAt  string              // [ready] path
	Retry    dispatch.RetryRules // [retry]
	Cold     dispatch.ColdRules  // [cold]
	Regions  map[string]string   // [regions]: region by place
	MemoryMB int                 // [machine] memory_mb, 0 when unknown
	Cores    float64             // [machine] cores, 0 when unknown
	Files    int                 // [machine] descriptors, 0 when unknown
	CertFile string              // [tls] certificate
	KeyFile  string              // [tls] key
	PlainOK  bool                // [tls] plain_text_allowed
	LogLevel string              // [log] level
	Exporter string              // [trace] exporter
	Collect  string              // [trace] endpoint
	Sample   float64             // [trace] ratio
	Wait     time.Duration       // [stop] balancer_wait
	Bound    time.Duration       // [stop] bound, 0 for none
	Limits   request.Limits      // [limits] body_bytes, answer_bytes, body_time, stall_time
	Header   int                 // [limits] header_bytes
	HeadTime time.Duration       // [limits] header_time
	IdleTime time.Duration       // [limits] idle_time
}

// Bounds of numeric settings.
const (
	minByteLimit = 1 << 10
	maxByteLimit = 256 << 20
	maxDuration  = time.Hour
)

// defaultHistory is how long a store keeps the history of its changes where it is not stated.
const defaultHistory = 20 * time.Second

// Defaults is a settings file with every key. Keys without a default have an example value
// that must be replaced.
const Defaults = `; silverswitchd settings. Addresses are IP numbers with a port.
[router]
; UDP and TCP towards other routers; also this router's name in the fleet.
peer_address = 127.0.0.1:7100
; The failure domain this router stands in, a place of fleet.ini.
place = hakata-a
caller_address = 127.0.0.1:8100
; How callers reach this router, for redirects from other places.
caller_url = http://127.0.0.1:8100
; Health, readiness, status and metrics.
operator_address = 127.0.0.1:9100

[fleet]
; Peer addresses to begin with; the VM list adds others.
seeds = 127.0.0.1:7101
; When not 0, every seed's port is this one.
seed_port = 0
; true when the whole fleet starts for the first time: callers come later, so routers
; leave the platform to the seeds for a moment.
first_start = false
; At least 16 bytes, the same on every router.
secret = change-this-secret-now

[platform]
url = http://127.0.0.1:7000
; values: versions of templates and parameters, for the application interface.
; store: routes, services and upstreams, for the routed interface.
kind = values
; For how long the store keeps the history of its changes, for the routed interface. After all
; routers were lost they read it to learn which software versions upstreams had; 0: they do not.
history = 20s

[metrics]
; A listener for metrics alone, beside the operators'; empty for none.
address =

[relay]
; A listener for connections of callers that other routers of the place relay to this one
; while they are short of processor; the same port on every router. Empty for none: this
; router then relays none either. For the routed interface.
address =

[ready]
; A listener for readiness alone; empty for none.
address =
path = /readyz

[retry]
; Repeated sends to a service in any window, by the whole fleet: at most
; ratio x the requests for it + slack. For the routed interface.
ratio = 0.1
window = 10s
slack = 10

[cold]
; What all routers together send to an upstream that has just started, in any second: at
; most its service's rate x overage + slack. For the routed interface.
overage = 1
slack = 0

; PLACE = REGION for each place; requests that the routing table binds to regions run in
; no place that is not named here.
[regions]

[machine]
; Memory of this VM for the process; 0 when unknown.
memory_mb = 0
; Descriptors the process may have; 0 when unknown.
descriptors = 0
; Processor of this VM for the process, in cores; 0 when unknown. Routers with
; more are asked to schedule first.
cores = 0

[tls]
certificate =
key =
; Needed for callers over plain text on an address that is not loopback.
plain_text_allowed = false

[limits]
body_bytes = 4194304
answer_bytes = 16777216
body_time = 20s
stall_time = 30s
header_bytes = 32768
header_time = 10s
idle_time = 2m0s

[log]
; debug, info, warn or error
level = info

[trace]
; off, stdout or otlp
exporter = off
endpoint = http://127.0.0.1:4318
ratio = 0.01

[stop]
; How long the balancer takes to notice that this router is not ready.
balancer_wait = 5s
; 0s waits for every request, however long.
bound = 0s
`

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ErrSettings.Wrap(err, "read settings file")
	}
	return ParseSettings(path, string(raw))
}

// ParseSettings parses and validates the text of a settings file. It returns all faults.
func ParseSettings(file, text string) (Settings, error) {
	var faults inifile.Faults
	r := settingsReader{sections: map[string]*inifile.Section{}, file: file, faults: &faults}
	for _, s := range inifile.Parse(file, text, &faults) {
		r.sections[s.Name] = s
	}
	s := r.read()
	r.rejectUnknownSections()
	return s, faults.OrNil()
}

// settingsReader reads the sections of a settings file.
type settingsReader struct {
	file      string
	sections  map[string]*inifile.Section
	requested []string
	faults    *inifile.Faults
}

func (r *settingsReader) section(name string) *inifile.Section {
	r.requested = append(r.requested, name)
	if s := r.sections[name]; s != nil {
		return s
	}
	return inifile.New(r.file, name, map[string]string{}, r.faults)
}

func (r *settingsReader) rejectUnknownSections() {
	for name, s := range r.sections {
		known := false
		for _, a := range r.requested {
			known = known || a == name
		}
		if !known {
			s.Fault("", "", "only the sections "+strings.Join(r.requested, ", "))
		}
	}
	sort.SliceStable(*r.faults, func(i, j int) bool { return (*r.faults)[i].Error() < (*r.faults)[j].Error() })
}

func (r *settingsReader) read() Settings {
	var s Settings
	r.readRouter(&s)
	r.readFleet(&s)
	r.readTLS(&s)
	r.readLimits(&s)
	r.readLogTraceStop(&s)
	return s
}

func (r *settingsReader) readRouter(s *Settings) {
	sec := r.section("router")
	s.Peer = sec.Address("peer_address")
	s.Place = sec.Text("place")
	s.Callers = sec.Address("caller_address")
	s.Public = httpURL(sec, "caller_url")
	s.Operator = sec.Address("operator_address")
	sec.CheckUnknownKeys()
}

func httpURL(sec *inifile.Section, key string) string {
	text := sec.Text(key)
	u, err := url.Parse(text)
	if text != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		sec.Fault(key, text, "a URL like http://10.0.0.7:8100")
	}
	return strings.TrimSuffix(text, "/")
}

func (r *settingsReader) readFleet(s *Settings) {
	sec := r.section("fleet")
	if sec.Has("seeds") && sec.TextOr("seeds", "") != "" {
		for _, a := range sec.List("seeds") {
			if _, err := netip.ParseAddrPort(a); err != nil {
				sec.Fault("seeds", a, "IP numbers with ports, like 10.0.0.7:7100, separated by commas")
			}
			s.Seeds = append(s.Seeds, wire.NodeID(a))
		}
	} else {
		sec.TextOr("seeds", "")
	}
	s.First = sec.Boolean("first_start", false)
	if port := sec.Integer("seed_port", 0, 0, 65535); port != 0 {
		for i, a := range s.Seeds {
			if ap, err := netip.ParseAddrPort(string(a)); err == nil {
				s.Seeds[i] = wire.NodeID(netip.AddrPortFrom(ap.Addr(), uint16(port)).String())
			}
		}
	}
	s.Secret = sec.Text("secret")
	if s.Secret != "" && len(s.Secret) < conn.MinSecretBytes {
		sec.Fault("secret", "(hidden)", fmt.Sprintf("at least %d bytes", conn.MinSecretBytes))
	}
	sec.CheckUnknownKeys()
	plat := r.section("platform")
	s.Platform = httpURL(plat, "url")
	s.Kind = plat.OneOf("kind", KindValues, KindValues, KindStore)
	s.History = plat.Duration("history", defaultHistory, 0, maxDuration)
	plat.CheckUnknownKeys()
	r.readRouted(s)
}

// Kinds of platforms.
const (
	KindValues = "values" // publishes versions of templates and parameters
	KindStore  = "store"  // publishes routes, services and upstreams
)

// readRouted reads the sections that only the routed interface uses.
func (r *settingsReader) readRouted(s *Settings) {
	ready := r.section("ready")
	if ready.TextOr("address", "") != "" {
		s.Ready = ready.Address("address")
	}
	s.ReadyAt = ready.TextOr("path", "/readyz")
	if !strings.HasPrefix(s.ReadyAt, "/") {
		ready.Fault("path", s.ReadyAt, "a path that begins with a slash")
	}
	ready.CheckUnknownKeys()
	metrics := r.section("metrics")
	if metrics.TextOr("address", "") != "" {
		s.Metrics = metrics.Address("address")
	}
	metrics.CheckUnknownKeys()
	relay := r.section("relay")
	if relay.TextOr("address", "") != "" {
		s.Relay = relay.Address("address")
	}
	relay.CheckUnknownKeys()
	retry := r.section("retry")
	def := dispatch.DefaultRetryRules
	s.Retry = dispatch.RetryRules{
		Ratio:  retry.Number("ratio", def.Ratio, 0, 10),
		Window: retry.Duration("window", def.Window, 100*time.Millisecond, maxDuration),
		Slack:  int(retry.Number("slack", float64(def.Slack), 0, 1_000_000)),
	}
	retry.CheckUnknownKeys()
	cold := r.section("cold")
	s.Cold = dispatch.ColdRules{
		Overage: cold.Number("overage", dispatch.DefaultColdRules.Overage, 0, 1000),
		Slack:   cold.Number("slack", dispatch.DefaultColdRules.Slack, 0, 1_000_000),
	}
	cold.CheckUnknownKeys()
	regions := r.section("regions")
	s.Regions = map[string]string{}
	for place := range regions.Values {
		s.Regions[place] = regions.Text(place)
	}
	regions.CheckUnknownKeys()
	machine := r.section("machine")
	s.MemoryMB = int(machine.Number("memory_mb", 0, 0, 16<<20))
	s.Files = int(machine.Number("descriptors", 0, 0, 1<<30))
	s.Cores = machine.Number("cores", 0, 0, 1024)
	machine.CheckUnknownKeys()
}

func (r *settingsReader) readTLS(s *Settings) {
	sec := r.section("tls")
	s.CertFile = sec.TextOr("certificate", "")
	s.KeyFile = sec.TextOr("key", "")
	s.PlainOK = sec.Boolean("plain_text_allowed", false)
	if (s.CertFile == "") != (s.KeyFile == "") {
		sec.Fault("key", s.KeyFile, "certificate and key together, or neither")
	}
	if s.CertFile == "" && !s.PlainOK && !isLoopback(s.Callers) {
		sec.Fault("certificate", "", "a certificate, or plain_text_allowed = true, since caller_address "+s.Callers+" is not loopback")
	}
	sec.CheckUnknownKeys()
}

func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

func (r *settingsReader) readLimits(s *Settings) {
	sec := r.section("limits")
	def := request.DefaultLimits
	s.Limits = request.Limits{
		Body:         int64(sec.Integer("body_bytes", int(def.Body), minByteLimit, maxByteLimit)),
		Answer:       int64(sec.Integer("answer_bytes", int(def.Answer), minByteLimit, maxByteLimit)),
		BodyTimeout:  sec.Duration("body_time", def.BodyTimeout, time.Millisecond, maxDuration),
		StallTimeout: sec.Duration("stall_time", def.StallTimeout, time.Millisecond, maxDuration),
	}
	s.Header = sec.Integer("header_bytes", 32<<10, minByteLimit, 1<<20)
	s.HeadTime = sec.Duration("header_time", 10*time.Second, time.Millisecond, maxDuration)
	s.IdleTime = sec.Duration("idle_time", 2*time.Minute, time.Millisecond, maxDuration)
	sec.CheckUnknownKeys()
}

func (r *settingsReader) readLogTraceStop(s *Settings) {
	log := r.section("log")
	s.LogLevel = log.OneOf("level", "info", "debug", "info", "warn", "error")
	log.CheckUnknownKeys()
	tr := r.section("trace")
	s.Exporter = tr.OneOf("exporter", "off", "off", "stdout", "otlp")
	s.Collect = tr.TextOr("endpoint", "")
	if s.Exporter == "otlp" {
		s.Collect = httpURL(tr, "endpoint")
	}
	s.Sample = tr.Number("ratio", 0.01, 0, 1)
	tr.CheckUnknownKeys()
	stop := r.section("stop")
	s.Wait = stop.Duration("balancer_wait", 5*time.Second, 0, maxDuration)
	s.Bound = stop.Duration("bound", 0, 0, 24*time.Hour)
	stop.CheckUnknownKeys()
}
