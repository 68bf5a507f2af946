package stream

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func reader(text string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(text), 16) }

func TestReadKeepsBytesUnchanged(t *testing.T) {
	text := "id: 3\ndata: {\"long\":\"" + strings.Repeat("x", 100) + "\"}\n\n"
	r := reader(text + "data: [DONE]\r\n\r\n")
	e, err := Read(r, nil)
	require.NoError(t, err)
	assert.Equal(t, text, string(e.Raw))
	assert.Equal(t, int64(3), e.Position)
	assert.False(t, e.Done())
	e, err = Read(r, e.Raw)
	require.NoError(t, err)
	assert.True(t, e.Done())
	assert.Equal(t, int64(NoPosition), e.Position)
	_, err = Read(r, nil)
	assert.ErrorIs(t, err, io.EOF)
}

func TestEndInsideEventIsAnError(t *testing.T) {
	for _, text := range []string{"data: x", "data: x\n", "id: 1\ndata: " + strings.Repeat("y", 50)} {
		_, err := Read(reader(text), nil)
		require.Error(t, err)
		assert.ErrorContains(t, err, "inside an event", text)
	}
}

func TestEventsAreBounded(t *testing.T) {
	_, err := Read(reader("data: "+strings.Repeat("x", MaxEventBytes)+"\n\n"), nil)
	assert.ErrorContains(t, err, "more than")
	_, err = Read(reader(strings.Repeat("data: xxxxxxxxxx\n", MaxEventBytes/10)), nil)
	assert.ErrorContains(t, err, "more than")
}

func FuzzRead(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("\r\n\ndata")
	f.Fuzz(func(t *testing.T, text string) {
		r := reader(text)
		total := 0
		for {
			e, err := Read(r, nil)
			total += len(e.Raw)
			if err != nil {
				break
			}
		}
		assert.LessOrEqual(t, total, len(text), "no byte is returned twice")
	})
}
