package version

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/silverswitch/silverswitch/internal/inifile"
)

// File names in a packed version.
const (
	FleetFile       = "fleet.ini"
	TemplateDir     = "templates/"
	OrganisationDir = "organisations/"
)

// Limits and defaults of the configuration's values.
const (
	minShare          = 0.01
	maxShare          = 1000
	maxSlots          = 4096
	maxQueueLimit     = 100000
	defaultQueueLimit = 256
	defaultWorth      = 400
	maxWorth          = 1e6
	maxHintTokens     = 1 << 20
	defaultTimeout    = 5 * time.Minute
	maxTimeout        = 2 * time.Hour
	minTimeout        = 10 * time.Millisecond
)

// loader is the state of one Load.
type loader struct {
	packed    Packed
	version   *Version
	templates map[string]*template
	faults    inifile.Faults
	ids       map[ID]string
}

// Load validates a packed value completely and returns the version, or inifile.Faults that
// name every invalid file, key and value. The result depends on raw alone, so that every
// router accepts or rejects the same values.
func Load(raw []byte) (*Version, error) {
	p, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	l := newLoader(p)
	l.version.Number = NumberOf(raw, p.Revision)
	l.version.Packed = raw
	l.loadFiles()
	if err := l.faults.OrNil(); err != nil {
		return nil, err
	}
	return l.version, nil
}

func newLoader(p Packed) *loader {
	return &loader{
		packed:    p,
		templates: map[string]*template{},
		ids:       map[ID]string{},
		version: &Version{
			Places:        map[string]*Place{},
			Services:      map[string]*Service{},
			Upstreams:     map[ID]*Upstream{},
			Organisations: map[ID]*Organisation{},
			Pools:         map[ID]*Pool{},
			byKeyHash:     map[[32]byte]*Organisation{},
			byName:        map[string]*Organisation{},
		},
	}
}

func (l *loader) loadFiles() {
	l.checkFileNames()
	l.loadFleet()
	l.buildPools()
	for _, name := range l.packed.fileNames(TemplateDir) {
		l.loadTemplate(name)
	}
	l.resolveTemplates()
	for _, name := range l.packed.fileNames(OrganisationDir) {
		l.loadOrganisation(name)
	}
}

// checkFileNames reports files that the loader does not read.
func (l *loader) checkFileNames() {
	for _, name := range l.packed.fileNames("") {
		known := name == FleetFile || strings.HasPrefix(name, TemplateDir) || strings.HasPrefix(name, OrganisationDir)
		if !known {
			l.fault(name, "", "", "", fmt.Sprintf("only %s, %s*.ini and %s*.ini", FleetFile, TemplateDir, OrganisationDir))
		}
	}
}

func (l *loader) fault(file, sec, key, value, allowed string) {
	l.faults = append(l.faults, inifile.Fault{File: file, Section: sec, Key: key, Value: value, Allowed: "allowed: " + allowed})
}

// claimID returns the ID of a name and reports a collision with another name.
func (l *loader) claimID(file, name string) ID {
	id := IDOf(name)
	if other, taken := l.ids[id]; taken {
		l.fault(file, "", "name", name, fmt.Sprintf("a name that does not collide with %q", other))
	}
	l.ids[id] = name
	return id
}

func (l *loader) loadFleet() {
	text, ok := l.packed.Files[FleetFile]
	if !ok {
		l.fault(FleetFile, "", "", "", "the file; it is required")
		return
	}
	sections := inifile.Parse(FleetFile, text, &l.faults)
	for _, want := range []string{"place", "service", "upstream"} {
		for _, s := range sections {
			if kind, name := s.Split(); kind == want {
				l.loadFleetSection(s, kind, name)
			}
		}
	}
	for _, s := range sections {
		if kind, name := s.Split(); name == "" || (kind != "place" && kind != "service" && kind != "upstream") {
			s.Fault("", "", "sections [place NAME], [service NAME] and [upstream NAME]")
		}
	}
}

func (l *loader) loadFleetSection(s *inifile.Section, kind, name string) {
	switch kind {
	case "place":
		l.version.Places[name] = &Place{Name: name, Region: s.Text("region"), Evacuated: s.OneOf("state", "active", "active", "evacuated") == "evacuated"}
	case "service":
		k := Kind(s.OneOf("kind", string(KindModel), string(KindModel), string(KindPlain)))
		l.version.Services[name] = &Service{Name: name, Kind: k}
	case "upstream":
		l.loadUpstream(s, name)
	}
	s.CheckUnknownKeys()
}

func (l *loader) loadUpstream(s *inifile.Section, name string) {
	u := &Upstream{
		ID:      l.claimID(s.File, "upstream/"+name),
		Name:    name,
		Service: s.Text("service"),
		Place:   s.Text("place"),
		Address: s.Address("address"),
		Slots:   s.Integer("slots", 1, 1, maxSlots),
		Leaving: s.OneOf("state", "active", "active", "leaving") == "leaving",
	}
	if l.version.Services[u.Service] == nil {
		s.Fault("service", u.Service, "a service of "+FleetFile+": "+nameList(l.version.Services))
	}
	if place := l.version.Places[u.Place]; place != nil {
		u.Evacuated = place.Evacuated
	} else {
		s.Fault("place", u.Place, "a place of "+FleetFile+": "+nameList(l.version.Places))
	}
	l.version.Upstreams[u.ID] = u
}

// buildPools groups the upstreams into one pool per service and region.
func (l *loader) buildPools() {
	for _, id := range sortedIDs(l.version.Upstreams) {
		u := l.version.Upstreams[id]
		place := l.version.Places[u.Place]
		if place == nil {
			continue
		}
		u.Pool = IDOf("pool/" + u.Service + "@" + place.Region)
		p := l.version.Pools[u.Pool]
		if p == nil {
			p = &Pool{ID: l.claimID(FleetFile, "pool/"+u.Service+"@"+place.Region), Service: u.Service, Region: place.Region}
			l.version.Pools[u.Pool] = p
		}
		p.Upstreams = append(p.Upstreams, u)
	}
}

func (l *loader) loadOrganisation(file string) {
	var head, params *inifile.Section
	for _, s := range inifile.Parse(file, l.packed.Files[file], &l.faults) {
		switch s.Name {
		case "organisation":
			head = s
		case "parameters":
			params = s
		default:
			s.Fault("", "", "sections [organisation] and [parameters]")
		}
	}
	if head == nil {
		l.fault(file, "organisation", "", "", "the section; it is required")
		return
	}
	name := head.Text("name")
	o := &Organisation{ID: l.claimID(file, "org/"+name), Name: name, Template: head.Text("template")}
	o.KeyHashes = l.keyHashes(head, o)
	head.CheckUnknownKeys()
	t := l.templates[o.Template]
	if t == nil {
		head.Fault("template", o.Template, "a template: "+nameList(l.templates))
		return
	}
	l.applyTemplate(o, t, file, params)
	l.version.Organisations[o.ID] = o
	l.version.byName[o.Name] = o
}

func (l *loader) keyHashes(s *inifile.Section, o *Organisation) [][32]byte {
	var out [][32]byte
	for _, text := range s.List("key_sha256") {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != 32 {
			s.Fault("key_sha256", text, "SHA-256 sums of 64 hexadecimal digits, separated by commas")
			continue
		}
		sum := [32]byte(raw)
		if other := l.version.byKeyHash[sum]; other != nil {
			s.Fault("key_sha256", text, "a key that "+other.Name+" does not have")
		}
		l.version.byKeyHash[sum] = o
		out = append(out, sum)
	}
	return out
}

// nameList returns the sorted keys of a map for an error message.
func nameList[V any](m map[string]V) string { return strings.Join(sortedNames(m), ", ") }

func sortedIDs[V any](m map[ID]V) []ID { return slices.Sorted(maps.Keys(m)) }

func sortedPools(m map[ID]*Pool) []*Pool {
	out := make([]*Pool, 0, len(m))
	for _, id := range sortedIDs(m) {
		out = append(out, m[id])
	}
	return out
}
