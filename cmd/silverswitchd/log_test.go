package main

import (
	"os"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// If nobody reads standard output, log lines are dropped instead of blocking the writer.
func TestBlockedStandardOutputDoesNotBlockLogging(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = stdout }()
	out, closeOut := logWriter()
	log := zerolog.New(out)
	for i := range 200_000 { // many times what the pipe and the buffer hold
		log.Info().Int("line", i).Str("text", "a line of ordinary length about a request").Msg("line")
	}
	r.Close() // the writer's last line fails instead of waiting
	closeOut()
	w.Close()
}
