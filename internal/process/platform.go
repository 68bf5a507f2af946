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

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Names of the values the platform publishes.
const (
	ValueConfiguration = "configuration"
	ValueVMs           = "vms"
)

// HeaderRevision is the platform's revision of a value, for the next watch.
const HeaderRevision = "X-Revision"

const (
	watchFor     = 25 * time.Second
	watchSlack   = 10 * time.Second
	retryPause   = time.Second
	longestPause = 10 * time.Second
)

// VM is one entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // router or upstream
	Address string `json:"address"` // peer address of a router, serving address of an upstream
	State   string `json:"state"`   // live or leaving
}

// VMList is the platform's list of VMs. It lags.
type VMList struct {
	VMs []VM `json:"vms"`
}

// errPlatform is a platform that cannot be read.
var errPlatform = errorx.NewNamespace("platform").NewType("read")

// Platform reads the platform's values by long polls.
type Platform struct {
	base   string
	client *http.Client
	drv    *Driver
	log    zerolog.Logger
	calls  metrics.Counter
	fails  metrics.Counter
}

// NewPlatform returns a reader of the platform at a base URL.
func NewPlatform(base string, drv *Driver, log zerolog.Logger, reg metrics.Registry) *Platform {
	return &Platform{
		base:   base,
		client: &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: watchFor + watchSlack},
		drv:    drv,
		log:    log,
		calls:  metrics.GetOrRegisterCounter("platform.calls", reg),
		fails:  metrics.GetOrRegisterCounter("platform.failures", reg),
	}
}

// WatchConfiguration offers each published version to the driver, while this
// router is one of its place's readers.
func (p *Platform) WatchConfiguration(ctx context.Context) {
	p.watch(ctx, ValueConfiguration, p.drv.Watches, p.drv.Offer)
}

// WatchVMs keeps the driver's roster and leaving upstreams up to date.
func (p *Platform) WatchVMs(ctx context.Context) {
	leaving := map[string]bool{}
	p.watch(ctx, ValueVMs, func() bool { return true }, func(raw []byte) {
		var list VMList
		if err := json.Unmarshal(raw, &list); err != nil {
			p.log.Warn().Err(err).Msg("vm-list-unreadable")
			return
		}
		p.takeList(list, leaving)
	})
}

// takeList hands the list to the core. leaving remembers which upstreams the
// list called leaving, so that only the list takes that back.
func (p *Platform) takeList(list VMList, leaving map[string]bool) {
	var routers []wire.NodeID
	for _, vm := range list.VMs {
		if vm.Role == "router" {
			routers = append(routers, wire.NodeID(vm.Address))
			continue
		}
		if vm.State == "leaving" {
			leaving[vm.Address] = true
			p.drain(vm.Address, true)
		} else if leaving[vm.Address] {
			delete(leaving, vm.Address)
			p.drain(vm.Address, false)
		}
	}
	p.drv.Step(core.Roster{Routers: routers})
}

// drain marks every upstream at an address. A VM may serve several.
func (p *Platform) drain(addr string, leaving bool) {
	v := p.drv.Version()
	if v == nil {
		return
	}
	for id, u := range v.Upstreams {
		if u.Address != addr {
			continue
		}
		if leaving {
			p.drv.Step(core.Drain{Upstream: id, Firm: true})
		} else {
			p.drv.Step(core.Undrain{Upstream: id})
		}
	}
}

// watch reads a value again and again while wanted, and hands on each new one.
func (p *Platform) watch(ctx context.Context, name string, wanted func() bool, take func([]byte)) {
	after := ""
	pause := retryPause
	for ctx.Err() == nil {
		if !wanted() {
			sleep(ctx, retryPause)
			continue
		}
		raw, rev, err := p.read(ctx, name, after)
		if err != nil {
			p.fails.Inc(1)
			p.log.Debug().Err(err).Str("value", name).Msg("platform-read-failed")
			sleep(ctx, pause)
			pause = min(2*pause, longestPause)
			continue
		}
		pause = retryPause
		if raw != nil {
			after = rev
			take(raw)
		}
	}
}

// read returns the value newer than a revision, or nil after the wait.
func (p *Platform) read(ctx context.Context, name, after string) ([]byte, string, error) {
	p.calls.Inc(1)
	q := url.Values{"wait": {strconv.Itoa(int(watchFor.Seconds()))}}
	if after != "" {
		q.Set("after", after)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/v1/values/"+name+"?"+q.Encode(), nil)
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read %s", name)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read %s", name)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotModified:
		return nil, after, nil
	case http.StatusOK:
	default:
		return nil, "", errPlatform.New("read %s: status %d", name, res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, version.MaxPackedBytes+1))
	if err != nil {
		return nil, "", errPlatform.Wrap(err, "read %s", name)
	}
	return raw, res.Header.Get(HeaderRevision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
