// Package tool implements silverswitch, the operators' command line.
package tool

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Exit codes, the same for every command.
const (
	ExitOK     = 0
	ExitFailed = 1 // refused, unreachable, or not answered
	ExitUsage  = 2
	ExitFaults = 3 // the templates or parameters have faults
)

// command is a subcommand of the tool.
type command struct {
	usage   string
	summary string
	run     func(c *invocation, args []string) error
}

// invocation holds the output and the flags of one run of a command.
type invocation struct {
	out   io.Writer
	flags *flag.FlagSet
}

// errUsage makes Main print the command's help and return ExitUsage.
var errUsage = errors.New("usage")

var commands = map[string]command{
	"check":           {"check DIR", "check templates and parameters before publishing", check},
	"pack":            {"pack -revision N DIR", "write the one value to publish to standard output", pack},
	"render":          {"render DIR ORGANISATION", "show what an organisation gets", render},
	"diff":            {"diff OLD-DIR NEW-DIR", "show who gains or loses what", diff},
	"explain":         {"explain -place PLACE DIR ORGANISATION APPLICATION", "show where a request would go, or why it would be refused", explain},
	"status":          {"status [-json] OPERATOR-URL...", "show the fleet as its routers see it", status},
	"explain-request": {"explain-request ID [LOG...]", "show the timeline of a request of the routed interface from routers' logs", explainRequest},
	"load":            {"load -routers URL,... [flags]", "send streams of the routed interface at a rate, and show what callers see", load},
	"call":            {"call [flags] CALLER-URL", "send one request and show its outcome", call},
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(out)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	cmd, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(errOut, "silverswitch %s: no such command\n", args[0])
		usage(errOut)
		return ExitUsage
	}
	c := &invocation{out: out, flags: flag.NewFlagSet(args[0], flag.ContinueOnError)}
	c.flags.SetOutput(errOut)
	c.flags.Usage = func() {
		fmt.Fprintf(errOut, "silverswitch %s\n  %s\n", cmd.usage, cmd.summary)
		c.flags.PrintDefaults()
	}
	return exitCode(cmd.run(c, args[1:]), c, errOut)
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, c *invocation, errOut io.Writer) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		c.flags.Usage()
		return ExitUsage
	}
	fmt.Fprintln(errOut, err)
	var faults interface{ Faults() int }
	if errors.As(err, &faults) {
		return ExitFaults
	}
	return ExitFailed
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "silverswitch COMMAND [flags] [arguments]; silverswitch COMMAND -h for each")
	names := make([]string, 0, len(commands))
	for n := range commands {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "  %-55s %s\n", commands[n].usage, commands[n].summary)
	}
	fmt.Fprintln(w, "Exit codes: 0 done, 1 failed or refused, 2 wrong usage, 3 faults in templates or parameters.")
}

// parse parses the flags and returns the arguments, of which there must be n.
func (c *invocation) parse(args []string, n int) ([]string, error) {
	if err := c.flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, errUsage
	}
	if c.flags.NArg() != n {
		return nil, errUsage
	}
	return c.flags.Args(), nil
}

// faultsError is an error in templates or parameters, for which the tool exits with
// ExitFaults.
type faultsError struct{ error }

// Faults is the method by which exitCode recognises a faultsError.
func (faultsError) Faults() int { return ExitFaults }

// loadDir packs a directory and loads the result, as routers do.
func loadDir(dir string, revision uint64) (*version.Version, []byte, error) {
	p, err := version.PackDir(os.DirFS(dir), revision)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	raw, err := p.Encode()
	if err != nil {
		return nil, nil, faultsError{err}
	}
	v, err := version.Load(raw)
	if err != nil {
		return nil, nil, faultsError{err}
	}
	return v, raw, nil
}

func check(c *invocation, args []string) error {
	args, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	v, raw, err := loadDir(args[0], 1)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "ok: %d organisations, %d upstreams, %d pools, %d bytes packed\n",
		len(v.Organisations), len(v.Upstreams), len(v.Pools), len(raw))
	return nil
}

func pack(c *invocation, args []string) error {
	rev := c.flags.Uint64("revision", 0, "the version's `number`, larger than the one in force")
	args, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	if *rev == 0 {
		return errUsage
	}
	_, raw, err := loadDir(args[0], *rev)
	if err != nil {
		return err
	}
	_, err = c.out.Write(raw)
	return err
}

func render(c *invocation, args []string) error {
	args, err := c.parse(args, 2)
	if err != nil {
		return err
	}
	v, _, err := loadDir(args[0], 1)
	if err != nil {
		return err
	}
	o := v.ByName(args[1])
	if o == nil {
		return fmt.Errorf("organisation = %q: allowed: %v", args[1], v.Names())
	}
	fmt.Fprint(c.out, v.Describe(o))
	return nil
}

func diff(c *invocation, args []string) error {
	args, err := c.parse(args, 2)
	if err != nil {
		return err
	}
	a, _, err := loadDir(args[0], 1)
	if err != nil {
		return err
	}
	b, _, err := loadDir(args[1], 2)
	if err != nil {
		return err
	}
	for _, ch := range version.Diff(a, b) {
		fmt.Fprintf(c.out, "%s: %s\n", ch.Subject, ch.Detail)
	}
	return nil
}

func explain(c *invocation, args []string) error {
	place := c.flags.String("place", "", "the `place` of the router the request enters by")
	args, err := c.parse(args, 3)
	if err != nil {
		return err
	}
	v, _, err := loadDir(args[0], 1)
	if err != nil {
		return err
	}
	if *place != "" && v.Places[*place] == nil {
		return faultsError{fmt.Errorf("-place = %q: allowed: a place of %s", *place, version.FleetFile)}
	}
	for _, line := range v.Explain(args[1], args[2], *place) {
		fmt.Fprintln(c.out, line)
	}
	return nil
}
