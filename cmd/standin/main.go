// Command standin runs one of the stand-ins that tests and the demo use in place of real
// upstreams and platforms.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/silverswitch/silverswitch/internal/standin"
	"github.com/silverswitch/silverswitch/platform/fake"
)

func main() {
	kind := flag.String("kind", "", "engine, plain, platform, or routed: a store and modelled engines")
	listen := flag.String("listen", "127.0.0.1:0", "`address`")
	first := flag.Duration("first", 20*time.Millisecond, "engine: time to the first token")
	gap := flag.Duration("gap", 5*time.Millisecond, "engine: time between tokens")
	tokens := flag.Int("tokens", 40, "engine: tokens of an answer without max_tokens")
	cut := flag.Int("cut", 0, "engine: cut each stream once before this event")
	delay := flag.Duration("delay", 2*time.Millisecond, "plain: time a call takes")
	breakOn := flag.String("break", "", "plain: `path` on which the connection breaks after the call has run")
	engines := flag.Int("engines", 4, "routed: number of engines")
	flag.Parse()
	var h http.Handler
	switch *kind {
	case "engine":
		h = (&standin.Engine{FirstTokenDelay: *first, TokenInterval: *gap, DefaultTokens: *tokens, CutAt: *cut}).Handler()
	case "plain":
		h = (&standin.Plain{Delay: *delay, BreakOn: *breakOn}).Handler()
	case "platform":
		h = standin.NewPlatform().Handler()
	case "routed":
		h = fake.RoutedPlatform(*engines)
	default:
		fmt.Fprintf(os.Stderr, "-kind = %q: allowed: engine, plain, platform, routed\n", *kind)
		os.Exit(2)
	}
	server := &http.Server{Addr: *listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}
