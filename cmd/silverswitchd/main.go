// Command silverswitchd is the router process.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/silverswitch/silverswitch/internal/process"
	"github.com/silverswitch/silverswitch/platform"
)

// Exit codes of the process.
const (
	exitOK          = 0
	exitFailed      = 1
	exitSettings    = 2
	exitRequestsCut = 3
)

func main() {
	os.Exit(run())
}

// run parses the flags, and serves until a signal stops the process.
func run() int {
	path := flag.String("settings", "silverswitchd.ini", "settings `file`")
	check := flag.String("check", "", "check a settings `file`, and end")
	defaults := flag.Bool("print-defaults", false, "print a settings file with every key, and end")
	flag.Parse()
	if *defaults {
		fmt.Print(process.Defaults)
		return exitOK
	}
	if *check != "" {
		*path = *check
	}
	set, err := process.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check != "" {
		fmt.Println(*path + ": ok")
		return exitOK
	}
	return serve(*path, set)
}

// serve runs a router with the given settings, which it reloads from path on SIGHUP.
func serve(path string, set process.Settings) int {
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	zerolog.TimeFieldFormat = logTimeFormat
	out, closeOut := logWriter()
	defer closeOut()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("router", set.Peer).Logger()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	d, err := start(set, log)
	if err != nil {
		log.Error().Err(err).Msg("not-started")
		return exitFailed
	}
	go process.WatchSettings(path, set, hangups, d.Reload, log)
	<-signals
	return stop(d, signals, log)
}

// daemon is a router of the application interface or of the routed interface.
type daemon interface {
	Shutdown(context.Context) int
	OpenRequests(time.Duration) int
	Reload(process.Settings)
}

// start starts the router of the interface that the settings select.
func start(set process.Settings, log zerolog.Logger) (daemon, error) {
	if set.Kind == process.KindStore {
		return process.StartRouted(set, platform.Deployment(set.Platform), log)
	}
	return process.StartApp(set, log)
}

// logTimeFormat has milliseconds, so that log lines of several routers can be sorted by
// time.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// logBufferLines is the number of lines buffered for a slow standard output. Further lines
// are dropped and counted, so that logging never blocks a request.
const logBufferLines = 4096

// logWriter returns a writer to standard output that never blocks, and a function that
// flushes and closes it.
func logWriter() (io.Writer, func()) {
	w := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"message\":\"log-lines-dropped\",\"lines\":%d}\n", missed)
	})
	return w, func() { _ = w.Close() } // nothing can be done about an error of standard output
}

// secondSignalTimeout bounds the time from a second signal to the end of the process. Within it callers
// are told that their requests have ended.
const secondSignalTimeout = 2 * time.Second

// stop shuts the router down gracefully; a second signal ends the grace. The exit code says
// whether requests were cut.
func stop(d daemon, signals <-chan os.Signal, log zerolog.Logger) int {
	ctx, endGrace := context.WithCancel(context.Background())
	defer endGrace()
	ended := make(chan int, 1)
	go func() { ended <- d.Shutdown(ctx) }()
	select {
	case cut := <-ended:
		if cut > 0 {
			return exitRequestsCut
		}
		return exitOK
	case <-signals:
		log.Warn().Int("requests", d.OpenRequests(time.Second)).Msg("ended-at-once")
		endGrace()
	}
	select {
	case <-ended:
	case <-time.After(secondSignalTimeout):
	}
	return exitRequestsCut
}
