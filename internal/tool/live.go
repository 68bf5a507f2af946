package tool

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/process"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/request/stream"
)

// statusTimeout limits the request for one router's status.
const statusTimeout = 3 * time.Second

func status(c *invocation, args []string) error {
	asJSON := c.flags.Bool("json", false, "print the routers' views as JSON")
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	if c.flags.NArg() == 0 {
		return errUsage
	}
	var views []core.View
	var routed []process.Status
	var failed error
	for _, base := range c.flags.Args() {
		failed = errors.Join(failed, readStatus(base, &views, &routed))
	}
	if *asJSON {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		if len(routed) > 0 {
			failed = errors.Join(enc.Encode(routed), failed)
		}
		if len(views) > 0 || len(routed) == 0 {
			failed = errors.Join(enc.Encode(views), failed)
		}
		return failed
	}
	if len(views) > 0 || len(routed) == 0 {
		printStatus(c.out, views)
	}
	if len(routed) > 0 {
		printRouted(c.out, routed, time.Now())
	}
	return failed
}

// readStatus fetches a router's status and appends it to views, for a router of the
// application interface, or to routed, for one of the routed interface.
func readStatus(base string, views *[]core.View, routed *[]process.Status) error {
	client := &http.Client{Timeout: statusTimeout}
	res, err := client.Get(strings.TrimSuffix(base, "/") + "/status")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var raw json.RawMessage
	if err := json.NewDecoder(res.Body).Decode(&raw); err != nil {
		return fmt.Errorf("%s: not a router's status: %w", base, err)
	}
	var r process.Status
	if err := json.Unmarshal(raw, &r); err == nil && r.Router != "" {
		*routed = append(*routed, r)
		return nil
	}
	var v core.View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("%s: not a router's status: %w", base, err)
	}
	*views = append(*views, v)
	return nil
}

func printStatus(out io.Writer, views []core.View) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ROUTER\tPLACE\tREADY\tREVISION\tHASH\tALIVE\tWAITING\tRUNNING\tSCHEDULES")
	for _, v := range views {
		alive := 1
		for _, m := range v.Members {
			if m.State == "alive" {
				alive++
			}
		}
		var pools []string
		for _, p := range v.Pools {
			pools = append(pools, p.Service+"@"+p.Region)
		}
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%016x\t%d\t%d\t%d\t%s\n", v.ID, v.Place, v.Ready, v.Revision, v.Hash, alive, v.Waiting, v.Running, strings.Join(pools, " "))
	}
	for _, v := range views {
		for _, p := range v.Pools {
			printPool(w, string(v.ID), p)
		}
	}
}

func printPool(w io.Writer, router string, p core.PoolView) {
	fmt.Fprintf(w, "\nPOOL %s@%s\tscheduled by %s, %d routers report\n", p.Service, p.Region, router, p.Routers)
	fmt.Fprintln(w, "ORGANISATION\tWAITING\tHELD\tSERVICE/SHARE")
	names := make([]string, 0, len(p.Orgs))
	for n := range p.Orgs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\n", n, p.Orgs[n].Waiting, p.Orgs[n].Held, p.Orgs[n].Service)
	}
	fmt.Fprintln(w, "UPSTREAM\tUSED\tLIMIT\tSLOTS\tLEAVING")
	for _, u := range p.Upstreams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\n", u.Name, u.Used, u.Limit, u.Slots, u.Drain)
	}
}

func call(c *invocation, args []string) error {
	key := c.flags.String("key", "", "API `key`, or the environment variable SILVERSWITCH_KEY")
	app := c.flags.String("app", "", "application")
	path := c.flags.String("path", "/", "plain services: `path`")
	body := c.flags.String("body", "", "plain services: the body; models: the user's message")
	plain := c.flags.Bool("plain", false, "the application is a plain service")
	streams := c.flags.Bool("stream", false, "models: stream the answer")
	idempotencyKey := c.flags.String("idempotency-key", "", "a UUID version 7, or new for one made here")
	tokens := c.flags.Int("max-tokens", 0, "models: bound on the answer")
	timeout := c.flags.Duration("timeout", time.Minute, "longest wait")
	traced := c.flags.Bool("trace", false, "have the call traced, and print the trace's number")
	args, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	if *key == "" {
		*key = os.Getenv("SILVERSWITCH_KEY")
	}
	req, err := newCall(strings.TrimSuffix(args[0], "/"), *app, *path, *body, *plain, *streams, *tokens)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+*key)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%g", timeout.Seconds()))
	if *idempotencyKey == "new" {
		*idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if *idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", *idempotencyKey)
	}
	if *traced {
		id := newTraceID()
		req.Header.Set("Traceparent", "00-"+id+"-"+id[:16]+"-01")
		fmt.Fprintln(c.out, "trace", id)
	}
	res, err := (&http.Client{Timeout: *timeout + time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return printResponse(c.out, res)
}

// newTraceID returns a W3C trace id, 32 hexadecimal digits.
func newTraceID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:])
}

// newCall builds a request to a plain service or, otherwise, a chat completion.
func newCall(base, app, path, body string, plain, streams bool, tokens int) (*http.Request, error) {
	if plain {
		return http.NewRequest(http.MethodPost, base+"/v1/apps/"+app+path, strings.NewReader(body))
	}
	content := map[string]any{
		"model":    app,
		"stream":   streams,
		"messages": []map[string]string{{"role": "user", "content": body}},
	}
	if tokens > 0 {
		content["max_tokens"] = tokens
	}
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(string(raw)))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

// printResponse prints the outcome and the answer. A stream is complete only if its final
// event was received.
func printResponse(out io.Writer, res *http.Response) error {
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return printStream(out, res)
	}
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("answer broken: %w", err)
	}
	kind := res.Header.Get(outcome.HeaderOutcome)
	fmt.Fprintf(out, "status %d, outcome %s\n%s\n", res.StatusCode, kind, strings.TrimSpace(string(raw)))
	if kind != string(outcome.Answered) {
		return fmt.Errorf("%s: %s", kind, res.Header.Get(outcome.HeaderReason))
	}
	return nil
}

// printStream prints the text of a stream's events, then its outcome.
func printStream(out io.Writer, res *http.Response) error {
	r := bufio.NewReader(res.Body)
	events := 0
	for {
		e, err := stream.Read(r, nil)
		if err != nil {
			return fmt.Errorf("stream broken after %d events: %w", events, err)
		}
		if e.Done() {
			break
		}
		events++
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal(e.Data, &chunk) == nil && len(chunk.Choices) > 0 {
			fmt.Fprint(out, chunk.Choices[0].Delta.Content)
		}
	}
	_, err := io.Copy(io.Discard, res.Body) // the trailer is read only after the body
	fmt.Fprintf(out, "\nstatus %d, outcome %s, %d events\n", res.StatusCode, res.Trailer.Get(outcome.HeaderOutcome), events)
	return err
}
