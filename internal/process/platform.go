package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Names of the values that the platform publishes.
const (
	ValueConfiguration = "configuration"
	ValueVMs           = "vms"
)

// HeaderRevision is the header with the revision of a value, from which the next watch
// continues.
const HeaderRevision = "X-Revision"

const (
	platformWatchTimeout  = 25 * time.Second // of one long poll
	platformClientSlack   = 10 * time.Second // by which the HTTP timeout exceeds the long poll
	minPlatformRetryPause = time.Second
	maxPlatformRetryPause = 10 * time.Second
)

// VM is an entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // router or upstream
	Address string `json:"address"` // peer address of a router, serving address of an upstream
	State   string `json:"state"`   // live or leaving
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList struct {
	VMs []VM `json:"vms"`
}

// errPlatform is the type of errors in reading from the platform.
var errPlatform = errorx.NewNamespace("platform").NewType("read")

// Platform reads the platform's values by long polling.
type Platform struct {
	base     string
	client   *http.Client
	ctrl     *AppController
	log      zerolog.Logger
	calls    metrics.Counter
	failures metrics.Counter
}

// NewPlatform returns a reader of the platform at the URL base.
func NewPlatform(base string, ctrl *AppController, log zerolog.Logger, reg metrics.Registry) *Platform {
	return &Platform{
		base:     base,
		client:   &http.Client{Transport: &http.Transport{Proxy: nil, MaxResponseHeaderBytes: conn.MaxPlainHeaderBytes}, Timeout: platformWatchTimeout + platformClientSlack},
		ctrl:     ctrl,
		log:      log,
		calls:    metrics.GetOrRegisterCounter("platform.calls", reg),
		failures: metrics.GetOrRegisterCounter("platform.failures", reg),
	}
}

// WatchConfiguration passes each published version to the controller while this router is
// one of its place's readers of the configuration.
func (p *Platform) WatchConfiguration(ctx context.Context) {
	p.watch(ctx, ValueConfiguration, p.ctrl.Watches, p.ctrl.OfferVersion)
}

// WatchVMs keeps the controller's roster of routers and the leaving upstreams up to date.
func (p *Platform) WatchVMs(ctx context.Context) {
	p.watch(ctx, ValueVMs, func() bool { return true }, func(raw []byte) {
		var list VMList
		if err := json.Unmarshal(raw, &list); err != nil {
			p.log.Warn().Err(err).Msg("vm-list-unreadable")
			return
		}
		p.applyVMList(list)
	})
}

// applyVMList passes the list to the controller.
func (p *Platform) applyVMList(list VMList) {
	var in core.Roster
	for _, vm := range list.VMs {
		switch {
		case vm.Role == "router":
			in.Routers = append(in.Routers, wire.NodeID(vm.Address))
		case vm.State == "leaving":
			in.Leaving = append(in.Leaving, vm.Address)
		default:
			in.Serving = append(in.Serving, vm.Address)
		}
	}
	p.ctrl.Step(in)
}

// watch polls a value while wanted returns true, and passes each new one to handle.
func (p *Platform) watch(ctx context.Context, name string, wanted func() bool, handle func([]byte)) {
	after := ""
	pause := minPlatformRetryPause
	for ctx.Err() == nil {
		if !wanted() {
			sleep(ctx, minPlatformRetryPause)
			continue
		}
		raw, rev, err := p.read(ctx, name, after)
		if err != nil {
			p.failures.Inc(1)
			p.log.Debug().Err(err).Str("value", name).Msg("platform-read-failed")
			sleep(ctx, pause)
			pause = min(2*pause, maxPlatformRetryPause)
			continue
		}
		pause = minPlatformRetryPause
		if raw != nil {
			after = rev
			handle(raw)
		}
	}
}

// read returns the value and its revision if it is newer than the revision after, or nil
// when the long poll ends without one.
func (p *Platform) read(ctx context.Context, name, after string) ([]byte, string, error) {
	p.calls.Inc(1)
	q := url.Values{"wait": {strconv.Itoa(int(platformWatchTimeout.Seconds()))}}
	if after != "" {
		q.Set("after", after)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/v1/values/"+name+"?"+q.Encode(), nil)
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read platform value %s", name)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read platform value %s", name)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotModified:
		return nil, after, nil
	case http.StatusOK:
	default:
		return nil, "", errPlatform.New("read platform value %s: status %d", name, res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, version.MaxPackedBytes+1))
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read platform value %s", name)
	}
	return raw, res.Header.Get(HeaderRevision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
