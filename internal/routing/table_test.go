package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When the last key of the only organisation is removed, requests must still be refused
// without a key.
func TestTableWithoutKeysStillRequiresAPIKey(t *testing.T) {
	var b Builder
	b.AddOrganisation(&Organisation{Name: "a"}, nil)
	tab, err := b.Build()
	require.NoError(t, err)
	assert.True(t, tab.RequiresAPIKey())
	assert.Nil(t, tab.ByAPIKey(""))
	open, err := (&Builder{}).Build()
	require.NoError(t, err)
	assert.False(t, open.RequiresAPIKey())
}
