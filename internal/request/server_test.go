package request

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzCompletion checks that any body is either refused or names an application.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"a","stream":true,"messages":[]}`))
	f.Add([]byte(`{"model":1,"messages":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var fields map[string]json.RawMessage
		var model string
		var streams bool
		if readCompletion(raw, &fields, &model, &streams) == nil {
			assert.NotEmpty(t, model)
			assert.NotNil(t, fields)
		}
	})
}
