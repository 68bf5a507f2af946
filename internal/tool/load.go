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

// loadPlan is what `silverswitch load` sends.
type loadPlan struct {
	routers        []string
	host           string
	path           string
	keys           []string
	rate           float64
	duration       time.Duration
	timeout        time.Duration
	sharedTokens   int // tokens of the part that requests share
	sharedVariants int // how many different shared parts
	promptTokens   int // tokens of the part of its own, mean
	outputTokens   int
	dialect        forward.Dialect
}

const (
	// maxRate and maxDuration bound the load.
	maxRate     = 2000.0
	maxDuration = 10 * time.Minute
	// maxLatencySamples is how many latencies of each kind are kept.
	maxLatencySamples = 100_000
)

// loadReport counts what callers saw.
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
		return fmt.Errorf("-rate %g -for %s -things %d: more than 0, at most %g a second for %s, and one thing or more", p.rate, p.duration, p.sharedVariants, maxRate, maxDuration)
	}
	r := p.sendAll()
	r.print(c.out)
	if r.outcomes["answered"] == 0 {
		return errors.New("nothing was answered")
	}
	return nil
}

// send sends requests at random moments, whether or not earlier ones have ended.
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

// one sends a request, and once more when it is told to come back.
func (p *loadPlan) sendWithRetry(client *http.Client, r *loadReport) {
	began := time.Now()
	prompt := p.prompt()
	key := p.keys[rand.IntN(len(p.keys))]
	for try := 0; ; try++ {
		router := p.routers[(rand.IntN(len(p.routers))+try)%len(p.routers)]
		end, after := p.attempt(client, r, router, key, prompt, began)
		if end != "refused" || try > 0 {
			r.count(end)
			return
		}
		r.mu.Lock()
		r.retried++
		r.mu.Unlock()
		time.Sleep(min(after, p.timeout/3))
	}
}

// parts is the prompt's list of parts, and its tokens.
func (p *loadPlan) prompt() [2]string {
	own := 1 + int(float64(p.promptTokens)*rand.ExpFloat64())
	list := fmt.Sprintf("%x:%d", rand.Uint64(), own)
	if p.sharedTokens > 0 {
		list = fmt.Sprintf("%x:%d,", 1+rand.IntN(p.sharedVariants), p.sharedTokens) + list
	}
	return [2]string{list, fmt.Sprintf("%d,%d", p.sharedTokens+own, p.outputTokens)}
}

func (p *loadPlan) attempt(client *http.Client, r *loadReport, router, key string, parts [2]string, began time.Time) (end string, after time.Duration) {
	ctx, stop := gocontext.WithTimeout(gocontext.Background(), p.timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(router, "/")+p.path, strings.NewReader("load"))
	if err != nil {
		return "not sent: " + err.Error(), 0
	}
	req.Host = p.host
	h := req.Header
	h.Set(p.dialect.RequestID, uuid.NewString())
	h.Set(p.dialect.Deadline, strconv.FormatInt(p.timeout.Milliseconds(), 10))
	h.Set(p.dialect.PromptParts, parts[0])
	h.Set(p.dialect.TokenUsage, parts[1])
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return "no answer", 0
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable {
		_, _ = io.Copy(io.Discard, res.Body) // the status says it all
		s, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return "refused", time.Duration(s * float64(time.Second))
	}
	if res.StatusCode != http.StatusOK {
		return "status " + strconv.Itoa(res.StatusCode), 0
	}
	return r.readStream(res, began), 0
}

// read takes an answer's events.
func (r *loadReport) readStream(res *http.Response, began time.Time) string {
	br := bufio.NewReader(res.Body)
	var buf []byte
	for n := 0; ; n++ {
		e, err := stream.Read(br, buf)
		if errors.Is(err, io.EOF) {
			r.wholeAnswer.Update(time.Since(began).Milliseconds())
			return "answered"
		}
		if err != nil {
			return "cut"
		}
		buf = e.Raw
		if n == 0 {
			r.firstEvent.Update(time.Since(began).Milliseconds())
		}
	}
}

func (r *loadReport) count(end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[end]++
}

func (r *loadReport) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	for end, n := range r.outcomes {
		fmt.Fprintf(w, "%s\t%d\n", end, n)
	}
	fmt.Fprintf(w, "refused and sent again\t%d\n", r.retried)
	for name, h := range map[string]metrics.Histogram{"first event": r.firstEvent, "whole answer": r.wholeAnswer} {
		q := h.Percentiles([]float64{0.5, 0.9, 0.99})
		fmt.Fprintf(w, "%s\t50: %.0f ms\t90: %.0f ms\t99: %.0f ms\n", name, q[0], q[1], q[2])
	}
}
