package version

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Describe returns a readable description of an organisation's configuration.
func (v *Version) Describe(o *Organisation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "organisation %s (template %s)\n", o.Name, o.Template)
	fmt.Fprintf(&b, "  places       %s\n", strings.Join(o.PlaceNames(), ", "))
	fmt.Fprintf(&b, "  share        %g\n", o.Share)
	fmt.Fprintf(&b, "  queue limit  %d at each router\n", o.QueueLimit)
	fmt.Fprintf(&b, "  keys         %d\n", len(o.KeyHashes))
	for _, name := range sortedNames(o.Applications) {
		a := o.Applications[name]
		fmt.Fprintf(&b, "  application %s\n", name)
		fmt.Fprintf(&b, "    service %s (%s), idempotent %t, priority %s, unit %s, worth %g, timeout %s\n",
			a.Service, v.Services[a.Service].Kind, a.Idempotent, a.Priority, a.Unit, a.Worth, a.Timeout)
		fmt.Fprintf(&b, "    upstreams %s\n", v.upstreamNames(o, a.Service))
	}
	return b.String()
}

func (v *Version) upstreamNames(o *Organisation, service string) string {
	var names []string
	for _, id := range sortedIDs(v.Upstreams) {
		u := v.Upstreams[id]
		if u.Service == service && o.Allows(u.Place) {
			names = append(names, u.Name+"@"+u.Place)
		}
	}
	if len(names) == 0 {
		return "none: every request is refused"
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// PlaceNames returns the organisation's places, sorted.
func (o *Organisation) PlaceNames() []string {
	return sortedNames(o.Places)
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Names returns the names of the organisations, sorted.
func (v *Version) Names() []string { return sortedNames(v.byName) }

// Change is one difference between two versions.
type Change struct {
	Subject string
	Detail  string
}

// Diff lists the changes between two versions: organisations added, removed or changed in
// their places, share, queue limit, keys or applications, places evacuated or returned, and
// upstreams added, removed or changed.
func Diff(old, new *Version) []Change {
	var out []Change
	add := func(subject, format string, args ...any) {
		out = append(out, Change{subject, fmt.Sprintf(format, args...)})
	}
	for _, name := range unionNames(old.byName, new.byName) {
		a, b := old.byName[name], new.byName[name]
		switch {
		case a == nil:
			add("organisation "+name, "added: places %s, share %g", strings.Join(b.PlaceNames(), ", "), b.Share)
		case b == nil:
			add("organisation "+name, "removed")
		default:
			diffOrganisation(a, b, add)
		}
	}
	diffPlaces(old, new, add)
	diffUpstreams(old, new, add)
	return out
}

func diffPlaces(old, new *Version, add func(string, string, ...any)) {
	for _, name := range unionNames(old.Places, new.Places) {
		a, b := old.Places[name], new.Places[name]
		if a == nil || b == nil || a.Evacuated == b.Evacuated {
			continue
		}
		if b.Evacuated {
			add("place "+name, "is evacuated: nothing new is sent to its upstreams")
		} else {
			add("place "+name, "is no longer evacuated")
		}
	}
}

func diffOrganisation(a, b *Organisation, add func(string, string, ...any)) {
	subject := "organisation " + a.Name
	for _, p := range unionNames(a.Places, b.Places) {
		if a.Places[p] != b.Places[p] {
			add(subject, "%s place %s", gainsOrLoses(b.Places[p]), p)
		}
	}
	if a.Share != b.Share {
		add(subject, "share %g -> %g", a.Share, b.Share)
	}
	if a.QueueLimit != b.QueueLimit {
		add(subject, "queue limit %d -> %d", a.QueueLimit, b.QueueLimit)
	}
	if fmt.Sprint(a.KeyHashes) != fmt.Sprint(b.KeyHashes) {
		add(subject, "API keys change")
	}
	for _, n := range unionNames(a.Applications, b.Applications) {
		x, y := a.Applications[n], b.Applications[n]
		if x == nil || y == nil {
			add(subject, "%s application %s", gainsOrLoses(y != nil), n)
		} else if *x != *y {
			add(subject, "application %s: %+v -> %+v", n, *x, *y)
		}
	}
}

func gainsOrLoses(gains bool) string {
	if gains {
		return "gains"
	}
	return "loses"
}

func diffUpstreams(old, new *Version, add func(string, string, ...any)) {
	a, b := upstreamsByName(old), upstreamsByName(new)
	for _, n := range unionNames(a, b) {
		x, y := a[n], b[n]
		switch {
		case x == nil:
			add("upstream "+n, "added: %s in %s, %d slots", y.Service, y.Place, y.Slots)
		case y == nil:
			add("upstream "+n, "removed")
		case *x != withEvacuatedOf(x, y):
			add("upstream "+n, "%s in %s, %d slots, leaving %t -> %s in %s, %d slots, leaving %t",
				x.Service, x.Place, x.Slots, x.Leaving, y.Service, y.Place, y.Slots, y.Leaving)
		}
	}
}

// withEvacuatedOf returns y with Evacuated as in x, so that the evacuation of a place is
// listed as one change and not once per upstream.
func withEvacuatedOf(x, y *Upstream) Upstream {
	out := *y
	out.Evacuated = x.Evacuated
	return out
}

func upstreamsByName(v *Version) map[string]*Upstream {
	out := map[string]*Upstream{}
	for _, u := range v.Upstreams {
		out[u.Name] = u
	}
	return out
}

func unionNames[V any](a, b map[string]V) []string {
	all := map[string]bool{}
	for n := range a {
		all[n] = true
	}
	for n := range b {
		all[n] = true
	}
	return sortedNames(all)
}

// Explain returns, in lines, where a request would be sent or why it would be refused. place
// is that of the router that receives the request, or "" for any.
func (v *Version) Explain(org, app, place string) []string {
	o := v.byName[org]
	if o == nil {
		return []string{"refused, not-run: no organisation " + org}
	}
	a := o.Applications[app]
	if a == nil {
		return []string{"refused, not-run: " + org + " has no application " + app}
	}
	if place != "" && !o.Allows(place) {
		return []string{fmt.Sprintf("redirected: a router in %s may not handle %s; allowed: %s", place, org, strings.Join(o.PlaceNames(), ", "))}
	}
	var lines []string
	usable := 0
	for _, id := range sortedIDs(v.Upstreams) {
		u := v.Upstreams[id]
		if u.Service != a.Service {
			continue
		}
		switch {
		case !o.Allows(u.Place):
			lines = append(lines, fmt.Sprintf("  not %s: place %s is not allowed", u.Name, u.Place))
		case u.Leaving:
			lines = append(lines, fmt.Sprintf("  not %s: leaving", u.Name))
		case u.Evacuated:
			lines = append(lines, fmt.Sprintf("  not %s: place %s is evacuated", u.Name, u.Place))
		default:
			usable++
			lines = append(lines, fmt.Sprintf("  may use %s in %s, %d slots", u.Name, u.Place, u.Slots))
		}
	}
	sort.Strings(lines)
	head := fmt.Sprintf("runs on one of %d upstreams of %s, share %g, priority %s, idempotent %t", usable, a.Service, o.Share, a.Priority, a.Idempotent)
	if usable == 0 {
		head = "refused, not-run: no upstream of " + a.Service + " in allowed places"
	}
	return append([]string{head}, lines...)
}
