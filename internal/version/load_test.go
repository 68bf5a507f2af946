package version

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const fleetText = `[place hakata-a]
region = kyu-north
[place kokura]
region = kyu-north
[service cards]
kind = model
[service counter]
kind = plain
[upstream c1]
service = cards
place = hakata-a
address = 127.0.0.1:9001
slots = 8
[upstream o1]
service = counter
place = kokura
address = 127.0.0.1:9002
`

const schoolText = `[template]
name = school
parameters = places, share
[organisation]
places = ${places}
share = ${share}
[application hints]
service = cards
idempotent = true
timeout = 30s
[application order]
service = counter
unit = answered
worth = 50
`

const nishiText = `[organisation]
name = nishi
template = school
key_sha256 = 1111111111111111111111111111111111111111111111111111111111111111
[parameters]
places = hakata-a
share = 2
`

func files() map[string]string {
	return map[string]string{
		FleetFile:                 fleetText,
		"templates/school.ini":    schoolText,
		"organisations/nishi.ini": nishiText,
	}
}

func load(t testing.TB, files map[string]string) (*Version, error) {
	t.Helper()
	raw, err := Packed{Revision: 1, Files: files}.Encode()
	require.NoError(t, err)
	return Load(raw)
}

func TestLoadAppliesTemplate(t *testing.T) {
	v, err := load(t, files())
	require.NoError(t, err)
	o := v.ByName("nishi")
	require.NotNil(t, o)
	assert.Equal(t, 2.0, o.Share)
	assert.True(t, o.Allows("hakata-a"))
	assert.False(t, o.Allows("kokura"))
	assert.True(t, o.Applications["hints"].Idempotent)
	assert.False(t, o.Applications["order"].Idempotent, "not idempotent by default")
	assert.Len(t, v.PoolsOf(o, "cards"), 1)
	assert.Empty(t, v.PoolsOf(o, "counter"), "its only upstream is in kokura")
	assert.Same(t, o, v.ByKeyHash(o.KeyHashes[0]))
}

func TestFaultsNameFileKeyAndValue(t *testing.T) {
	cases := []struct {
		name, file, from, to string
		want                 []string
	}{
		{"unknown key", FleetFile, "slots = 8", "slots = 8\nslot = 9", []string{"fleet.ini", "[upstream c1]", `slot = "9"`, "only the keys"}},
		{"repeated key", FleetFile, "slots = 8", "slots = 8\nslots = 9", []string{"slots", "8 | 9", "the key once"}},
		{"missing parameter", "organisations/nishi.ini", "share = 2\n", "", []string{"organisations/nishi.ini", "share", "requires it"}},
		{"parameter of no template", "organisations/nishi.ini", "share = 2", "share = 2\nshares = 3", []string{"shares", `"3"`, "only the parameters"}},
		{"unused parameter", "templates/school.ini", "parameters = places, share", "parameters = places, share, colour", []string{"templates/school.ini", "colour", "uses"}},
		{"undeclared parameter", "templates/school.ini", "timeout = 30s", "timeout = ${wait}", []string{"templates/school.ini", "${wait}", "declared"}},
		{"wrong unit", "templates/school.ini", "timeout = 30s", "timeout = 30", []string{"timeout", `"30"`, "duration with its unit"}},
		{"unknown place", "organisations/nishi.ini", "places = hakata-a", "places = nagasaki", []string{"nagasaki", "hakata-a, kokura"}},
		{"unknown service", "templates/school.ini", "service = cards", "service = card", []string{"service", `"card"`, "cards, counter"}},
		{"share out of range", "organisations/nishi.ini", "share = 2", "share = 0", []string{"share", `"0"`, "0.01 to 1000"}},
		{"share not a number", "organisations/nishi.ini", "share = 2", "share = NaN", []string{"share", "NaN"}},
		{"bad address", FleetFile, "127.0.0.1:9001", "engine-1:9001", []string{"address", "engine-1:9001", "IP number"}},
		{"bad key hash", "organisations/nishi.ini", "key_sha256 = 11", "key_sha256 = zz", []string{"key_sha256", "64 hexadecimal"}},
		{"unknown template", "organisations/nishi.ini", "template = school", "template = scool", []string{"scool", "school"}},
		{"bad unit", "templates/school.ini", "unit = answered", "unit = answers", []string{"unit", `"answers"`, "tokens, answered"}},
		{"unknown section", FleetFile, "[service counter]", "[servise counter]", []string{"servise", "sections"}},
		{"not INI", FleetFile, "[place kokura]", "[place kokura", []string{"fleet.ini"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := files()
			require.Contains(t, fs[c.file], c.from)
			fs[c.file] = strings.Replace(fs[c.file], c.from, c.to, 1)
			_, err := load(t, fs)
			require.Error(t, err)
			for _, w := range c.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
}

func TestTemplateCycleIsRefused(t *testing.T) {
	fs := files()
	fs["templates/school.ini"] = strings.Replace(schoolText, "name = school", "name = school\nextends = other", 1)
	fs["templates/other.ini"] = "[template]\nname = other\nextends = school\n"
	_, err := load(t, fs)
	assert.ErrorContains(t, err, "no cycle")
}

func TestTemplateExtendsAnother(t *testing.T) {
	fs := files()
	fs["templates/big.ini"] = "[template]\nname = big\nextends = school\n[organisation]\nqueue_limit = 9\n"
	fs["organisations/nishi.ini"] = strings.Replace(nishiText, "template = school", "template = big", 1)
	v, err := load(t, fs)
	require.NoError(t, err)
	assert.Equal(t, 9, v.ByName("nishi").QueueLimit)
	assert.Contains(t, v.ByName("nishi").Applications, "hints")
}

func TestKeyOfTwoOrganisationsIsRejected(t *testing.T) {
	fs := files()
	fs["organisations/two.ini"] = strings.Replace(nishiText, "name = nishi", "name = two", 1)
	_, err := load(t, fs)
	assert.ErrorContains(t, err, "a key that nishi does not have")
}

func TestPackedIsBounded(t *testing.T) {
	fs := files()
	fs["templates/huge.ini"] = strings.Repeat("; filler\n", MaxPackedBytes/8)
	_, err := Packed{Revision: 1, Files: fs}.Encode()
	assert.ErrorContains(t, err, "at most")
	_, err = Decode(make([]byte, MaxPackedBytes+1))
	assert.ErrorContains(t, err, "at most")
	_, err = Decode([]byte(`{"files":{}}`))
	assert.ErrorContains(t, err, "revision = 0")
}

func TestLoadIsDeterministic(t *testing.T) {
	fs := files()
	fs[FleetFile] = strings.ReplaceAll(fleetText, "place = hakata-a", "place = nowhere")
	fs["organisations/nishi.ini"] = strings.Replace(nishiText, "share = 2", "share = -1\nx = y", 1)
	_, first := load(t, fs)
	for range 20 {
		_, err := load(t, fs)
		assert.Equal(t, first.Error(), err.Error())
	}
}

func TestPackDirReadsIniFiles(t *testing.T) {
	dir := fstest.MapFS{}
	for name, text := range files() {
		dir[name] = &fstest.MapFile{Data: []byte(text)}
	}
	dir["README"] = &fstest.MapFile{Data: []byte("not ours")}
	p, err := PackDir(dir, 3)
	require.NoError(t, err)
	assert.Len(t, p.Files, 3)
}

func TestDiffListsGainsAndLosses(t *testing.T) {
	a, err := load(t, files())
	require.NoError(t, err)
	fs := files()
	fs["organisations/nishi.ini"] = strings.Replace(strings.Replace(nishiText, "hakata-a", "kokura", 1), "share = 2", "share = 3", 1)
	b, err := load(t, fs)
	require.NoError(t, err)
	text := fmt.Sprint(Diff(a, b))
	for _, want := range []string{"gains place kokura", "loses place hakata-a", "share 2 -> 3"} {
		assert.Contains(t, text, want)
	}
	assert.Empty(t, Diff(a, a))
}

func TestEvacuatedPlaceClosesItsUpstreams(t *testing.T) {
	before, err := load(t, files())
	require.NoError(t, err)
	f := files()
	f[FleetFile] = strings.Replace(fleetText, "[place hakata-a]\n", "[place hakata-a]\nstate = evacuated\n", 1)
	after, err := load(t, f)
	require.NoError(t, err)
	for _, u := range after.Upstreams {
		assert.Equal(t, u.Place == "hakata-a", u.Closed(), u.Name)
	}
	assert.Equal(t, []Change{{"place hakata-a", "is evacuated: nothing new is sent to its upstreams"}}, Diff(before, after))
	assert.Equal(t, []Change{{"place hakata-a", "is no longer evacuated"}}, Diff(after, before))
	assert.Contains(t, strings.Join(after.Explain("nishi", "hints", ""), "\n"), "not c1: place hakata-a is evacuated")
	f[FleetFile] = strings.Replace(fleetText, "[place hakata-a]\n", "[place hakata-a]\nstate = empty\n", 1)
	_, err = load(t, f)
	assert.ErrorContains(t, err, "state")
}

func TestExplain(t *testing.T) {
	v, err := load(t, files())
	require.NoError(t, err)
	assert.Contains(t, v.Explain("nishi", "hints", "hakata-a")[0], "runs on one of 1")
	assert.Contains(t, v.Explain("nishi", "hints", "kokura")[0], "redirected")
	assert.Contains(t, v.Explain("nishi", "order", "")[0], "refused")
	assert.Contains(t, v.Explain("nobody", "order", "")[0], "no organisation")
	assert.Contains(t, v.Describe(v.ByName("nishi")), "none: every request is refused")
}

func FuzzLoad(f *testing.F) {
	raw, err := Packed{Revision: 1, Files: files()}.Encode()
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, err := Load(raw)
		if err == nil {
			assert.NotNil(t, v)
		}
	})
}

// plannedFleet returns a configuration of 390 organisations, 14 models and 1,600 upstreams.
func plannedFleet() map[string]string {
	var fleet strings.Builder
	for i := range 11 {
		fmt.Fprintf(&fleet, "[place p%02d]\nregion = r%d\n", i, i%4)
	}
	var apps strings.Builder
	apps.WriteString("[template]\nname = all\nparameters = places, share\n[organisation]\nplaces = ${places}\nshare = ${share}\n")
	for i := range 14 {
		fmt.Fprintf(&fleet, "[service m%02d]\nkind = model\n", i)
		fmt.Fprintf(&apps, "[application a%02d]\nservice = m%02d\nidempotent = true\n", i, i)
	}
	for i := range 1600 {
		fmt.Fprintf(&fleet, "[upstream u%04d]\nservice = m%02d\nplace = p%02d\naddress = 10.0.%d.%d:80\nslots = 40\n", i, i%14, i%11, i/250, i%250)
	}
	fs := map[string]string{FleetFile: fleet.String(), "templates/all.ini": apps.String()}
	for i := range 390 {
		fs[fmt.Sprintf("organisations/o%03d.ini", i)] = fmt.Sprintf(
			"[organisation]\nname = o%03d\ntemplate = all\nkey_sha256 = %064x\n[parameters]\nplaces = p%02d, p%02d\nshare = 1\n", i, i+1, i%11, (i+1)%11)
	}
	return fs
}

func TestPlannedSizeFitsOneValue(t *testing.T) {
	raw, err := Packed{Revision: 1, Files: plannedFleet()}.Encode()
	require.NoError(t, err)
	assert.Less(t, len(raw), MaxPackedBytes/2)
}

func BenchmarkLoadPlannedSize(b *testing.B) {
	raw, err := Packed{Revision: 1, Files: plannedFleet()}.Encode()
	require.NoError(b, err)
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := Load(raw); err != nil {
			b.Fatal(err)
		}
	}
}
