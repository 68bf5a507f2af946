package tool

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/process"
	"github.com/silverswitch/silverswitch/internal/routing"
)

func TestStatusShowsEvacuatedPlacesAndColdUpstreams(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	cold := func(allowed, placed int) dispatch.UpstreamState {
		return dispatch.UpstreamState{Service: "llm", ID: "e7", Place: "p", Cold: &dispatch.ColdUpstream{ForMS: 1200, Why: "place-returned", Allowed: allowed, Placed: placed}}
	}
	views := []process.Status{
		{Router: "r1", Ready: true, Upstreams: []dispatch.UpstreamState{cold(0, 0)}},
		{Router: "r2", Ready: true, Evacuated: []routing.Evacuation{{Place: "q", Revision: 41, Since: now.Add(-90 * time.Second)}}, Upstreams: []dispatch.UpstreamState{cold(9, 4)}},
	}
	var out bytes.Buffer
	printRouted(&out, views, now)
	text := strings.Join(strings.Fields(out.String()), " ")
	assert.Contains(t, text, "q 41 1m30s r1")
	assert.Contains(t, text, "e7 llm p place-returned 1200 ms 9 4", "as the scheduler sees it")
}

func TestStatusShowsRolesAndWorkingSets(t *testing.T) {
	up := func(id string, used bool) dispatch.UpstreamState {
		return dispatch.UpstreamState{Service: "llm", ID: id, Place: "p", InUse: used}
	}
	views := []process.Status{
		{Router: "r1", Role: dispatch.Role{Schedules: []string{"llm"}, Relays: true}, Upstreams: []dispatch.UpstreamState{up("a", true), up("b", false), up("c", false)}},
		{Router: "r2", Role: dispatch.Role{ReadsStore: true}, Upstreams: []dispatch.UpstreamState{up("a", false)}},
	}
	var out bytes.Buffer
	printRouted(&out, views, time.Time{})
	text := strings.Join(strings.Fields(out.String()), " ")
	assert.Contains(t, text, "relay, schedules llm")
	assert.Contains(t, text, "reads store")
	assert.Contains(t, text, "llm p 1 3", "by its scheduler alone")
}

func TestStatusDistinguishesInterfaces(t *testing.T) {
	serve := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		t.Cleanup(s.Close)
		return s.URL
	}
	var views []core.View
	var routed []process.Status
	require.NoError(t, readStatus(serve(`{"router":"r1","ready":true}`), &views, &routed))
	require.NoError(t, readStatus(serve(`{"id":"a"}`), &views, &routed))
	assert.Len(t, views, 1)
	require.Len(t, routed, 1)
	assert.Equal(t, "r1", string(routed[0].Router))
	assert.ErrorContains(t, readStatus(serve(`no`), &views, &routed), "not a router's status")
}
