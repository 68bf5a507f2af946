// Command silverswitchd is the router process.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/process"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	exitCut      = 3
)

func main() {
	os.Exit(run())
}

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
	return serve(set)
}

func serve(set process.Settings) int {
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("router", set.Peer).Logger()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := process.Start(set, log)
	if err != nil {
		log.Error().Err(err).Msg("not-started")
		return exitFailed
	}
	<-signals
	return stop(d, signals, log)
}

// stop ends gracefully; a second signal ends at once.
func stop(d *process.Daemon, signals <-chan os.Signal, log zerolog.Logger) int {
	ended := make(chan int, 1)
	go func() { ended <- d.Shutdown(context.Background()) }()
	select {
	case cut := <-ended:
		if cut > 0 {
			return exitCut
		}
		return exitOK
	case <-signals:
		log.Warn().Int("requests", d.Open(time.Second)).Msg("ended-at-once")
		return exitCut
	}
}
