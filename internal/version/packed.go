package version

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io/fs"
	"path"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// MaxPackedBytes is the largest value that the configuration service can hold.
const MaxPackedBytes = 1 << 20

// Errors of this package, apart from faults in the content.
var (
	namespace = errorx.NewNamespace("version")
	// ErrPacked is the type of errors for a value that is not a packed version.
	ErrPacked = namespace.NewType("packed")
)

// Packed is the published form of a version: a single value with all files, so that a router
// reads it in one call.
type Packed struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"`
}

// Encode returns the value to publish.
func (p Packed) Encode() ([]byte, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, ErrPacked.Wrap(err, "encode")
	}
	if len(raw) > MaxPackedBytes {
		return nil, ErrPacked.New("%d bytes: allowed: at most %d", len(raw), MaxPackedBytes)
	}
	return raw, nil
}

// Decode decodes a published value. It does not validate the content of the files.
func Decode(raw []byte) (Packed, error) {
	var p Packed
	if len(raw) > MaxPackedBytes {
		return p, ErrPacked.New("%d bytes: allowed: at most %d", len(raw), MaxPackedBytes)
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, ErrPacked.Wrap(err, "not a packed version")
	}
	if p.Revision == 0 {
		return p, ErrPacked.New("revision = 0: allowed: 1 or more")
	}
	return p, nil
}

// PackDir reads every .ini file below a directory into a Packed value.
func PackDir(dir fs.FS, revision uint64) (Packed, error) {
	p := Packed{Revision: revision, Files: map[string]string{}}
	err := fs.WalkDir(dir, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || path.Ext(name) != ".ini" {
			return err
		}
		raw, err := fs.ReadFile(dir, name)
		p.Files[name] = string(raw)
		return err
	})
	if err != nil {
		return p, ErrPacked.Wrap(err, "read directory")
	}
	return p, nil
}

// NumberOf returns the Number of a packed value.
func NumberOf(raw []byte, revision uint64) Number {
	sum := sha256.Sum256(raw)
	return Number{Revision: revision, Hash: binary.BigEndian.Uint64(sum[:8])}
}

// fileNames returns the names of the files with a prefix, sorted, so that files are checked
// and faults reported in the same order on every router.
func (p Packed) fileNames(prefix string) []string {
	var out []string
	for name := range p.Files {
		if strings.HasPrefix(name, prefix) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
