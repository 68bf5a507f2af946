package tool

import (
	"bufio"
	gocontext "context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/request/stream"
	"github.com/silverswitch/silverswitch/platform"
)

// loadPlan describes the load that `silverswitch load` sends.
type loadPlan struct {
	routers        []string
	host           string
	path           string
	keys           []string
	rate           float64
	duration       time.Duration
	timeout        time.Duration
	sharedTokens   int // of the part of the prompt that requests share; 0 for none
	sharedVariants int // number of different shared parts
	promptTokens   int // of the part of the prompt that is the request's own, mean
	outputTokens   int
	dialect        forward.Dialect
}

const (
	// maxRate, in requests a second, and maxDuration bound the load.
	maxRate     = 2000.0
	maxDuration = 10 * time.Minute
	// maxLatencySamples is the size of the random sample of each latency histogram.
	maxLatencySamples = 100_000
)

// loadReport collects the outcomes and latencies that callers saw.
type loadReport struct {
	mu          sync.Mutex
	outcomes    map[string]int
	firstEvent  metrics.Histogram // milliseconds to the first event, from the first attempt
	wholeAnswer metrics.Histogram
	retried     int
}

func load(c *invocation, args []string) error {
	p := loadPlan{dialect: platform.Dialect()}
	routers := c.flags.String("routers", "", "caller `URLs` of routers, separated by commas")
	keys := c.flags.String("keys", "", "API `keys` of the callers' organisations, separated by commas")
	c.flags.StringVar(&p.host, "host", "", "`host` of the route")
	c.flags.StringVar(&p.path, "path", "/", "`path` of the route")
	c.flags.Float64Var(&p.rate, "rate", 20, "requests a second, over all routers")
	c.flags.DurationVar(&p.duration, "for", 10*time.Second, "how long")
	c.flags.DurationVar(&p.timeout, "timeout", 6*time.Second, "how long callers wait")
	c.flags.IntVar(&p.sharedTokens, "shared", 6300, "`tokens` of a part of the prompt that requests share; 0 for none")
	c.flags.IntVar(&p.sharedVariants, "things", 50, "how many different shared parts there are")
	c.flags.IntVar(&p.promptTokens, "prompt", 2890, "`tokens` of the prompt's own part, on average")
	c.flags.IntVar(&p.outputTokens, "output", 52, "`tokens` of the answer")
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	p.routers, p.keys = strings.Split(*routers, ","), strings.Split(*keys, ",")
	if *routers == "" || c.flags.NArg() > 0 {
		return errUsage
	}
	if p.rate <= 0 || p.rate > maxRate || p.duration <= 0 || p.duration > maxDuration || p.sharedVariants < 1 {
		return fmt.Errorf("-rate %g -for %s -things %d: allowed: a rate above 0 and at most %g a second, a duration above 0 and at most %s, and at least 1 shared part", p.rate, p.duration, p.sharedVariants, maxRate, maxDuration)
	}
	r := p.sendAll()
	r.print(c.out)
	if r.outcomes["answered"] == 0 {
		return errors.New("nothing was answered")
	}
	return nil
}

// sendAll is an open loop: it sends requests at exponentially distributed intervals,
// whether or not earlier ones have ended, and waits for all of them.
func (p *loadPlan) sendAll() *loadReport {
	r := &loadReport{outcomes: map[string]int{}, firstEvent: metrics.NewHistogram(metrics.NewUniformSample(maxLatencySamples)), wholeAnswer: metrics.NewHistogram(metrics.NewUniformSample(maxLatencySamples))}
	client := &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 200}}
	var wg sync.WaitGroup
	for end := time.Now().Add(p.duration); time.Now().Before(end); {
		wg.Go(func() { p.sendWithRetry(client, r) })
		time.Sleep(time.Duration(rand.ExpFloat64() / p.rate * float64(time.Second)))
	}
	wg.Wait()
	return r
}

// sendWithRetry sends a request, and retries it once, at another router, when it is
// refused.
func (p *loadPlan) sendWithRetry(client *http.Client, r *loadReport) {
	startedAt := time.Now()
	prompt := p.prompt()
	key := p.keys[rand.IntN(len(p.keys))]
	for try := 0; ; try++ {
		router := p.routers[(rand.IntN(len(p.routers))+try)%len(p.routers)]
		outcome, retryAfter := p.attempt(client, r, router, key, prompt, startedAt)
		if outcome != "refused" || try > 0 {
			r.count(outcome)
			return
		}
		r.mu.Lock()
		r.retried++
		r.mu.Unlock()
		time.Sleep(min(retryAfter, p.timeout/3))
	}
}

// prompt draws a prompt and returns the values of two headers: its list of parts, and its
// numbers of prompt and answer tokens.
func (p *loadPlan) prompt() [2]string {
	own := 1 + int(float64(p.promptTokens)*rand.ExpFloat64())
	list := fmt.Sprintf("%x:%d", rand.Uint64(), own)
	if p.sharedTokens > 0 {
		list = fmt.Sprintf("%x:%d,", 1+rand.IntN(p.sharedVariants), p.sharedTokens) + list
	}
	return [2]string{list, fmt.Sprintf("%d,%d", p.sharedTokens+own, p.outputTokens)}
}

// attempt sends a request once and returns its outcome, and the Retry-After of a refusal.
func (p *loadPlan) attempt(client *http.Client, r *loadReport, router, key string, prompt [2]string, startedAt time.Time) (outcome string, retryAfter time.Duration) {
	ctx, cancel := gocontext.WithTimeout(gocontext.Background(), p.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(router, "/")+p.path, strings.NewReader("load"))
	if err != nil {
		return "not sent: " + err.Error(), 0
	}
	req.Host = p.host
	h := req.Header
	h.Set(p.dialect.RequestID, uuid.NewString())
	h.Set(p.dialect.Deadline, strconv.FormatInt(p.timeout.Milliseconds(), 10))
	h.Set(p.dialect.PromptParts, prompt[0])
	h.Set(p.dialect.TokenUsage, prompt[1])
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return "no answer", 0
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable {
		_, _ = io.Copy(io.Discard, res.Body) // the status says all that is needed
		s, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return "refused", time.Duration(s * float64(time.Second))
	}
	if res.StatusCode != http.StatusOK {
		return "status " + strconv.Itoa(res.StatusCode), 0
	}
	return r.readStream(res, startedAt), 0
}

// readStream reads an answer's events, records its latencies and returns its outcome.
func (r *loadReport) readStream(res *http.Response, startedAt time.Time) string {
	br := bufio.NewReader(res.Body)
	var buf []byte
	for n := 0; ; n++ {
		e, err := stream.Read(br, buf)
		if errors.Is(err, io.EOF) {
			r.wholeAnswer.Update(time.Since(startedAt).Milliseconds())
			return "answered"
		}
		if err != nil {
			return "cut"
		}
		buf = e.Raw
		if n == 0 {
			r.firstEvent.Update(time.Since(startedAt).Milliseconds())
		}
	}
}

func (r *loadReport) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

func (r *loadReport) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	for outcome, n := range r.outcomes {
		fmt.Fprintf(w, "%s\t%d\n", outcome, n)
	}
	fmt.Fprintf(w, "refused and sent again\t%d\n", r.retried)
	for name, h := range map[string]metrics.Histogram{"first event": r.firstEvent, "whole answer": r.wholeAnswer} {
		q := h.Percentiles([]float64{0.5, 0.9, 0.99})
		fmt.Fprintf(w, "%s\t50: %.0f ms\t90: %.0f ms\t99: %.0f ms\n", name, q[0], q[1], q[2])
	}
}
