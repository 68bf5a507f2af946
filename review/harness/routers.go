//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// router is one router process on a loopback address of its own, as a machine of the platform.
type router struct {
	name, ip  string
	front     string
	ready     string
	storeLink *link
	settings  string
	logPath   string
	command   []string
	rec       *record

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	isReady  atomic.Bool
	peakMB   atomic.Int64
	ends     atomic.Int64 // ends by itself, memory over the limit included
}

// fleet is the routers of a run, with the platform's part: it starts a process that has ended
// again, ends one that exceeds its memory, and asks each once a second whether it is ready.
type fleet struct {
	routers  []*router
	rec      *record
	stopped  chan struct{}
	memoryMB int // 0: not enforced
}

// deployRun returns the command of the deploy file.
func deployRun() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if m == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line")
	}
	return strings.Fields(string(m[1])), nil
}

const deploySettingsPath = "/etc/silverswitch/local.toml"

// freePorts returns ports that are free for TCP and UDP on all of the addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for port := 21000 + os.Getpid()%5000; port < 32000 && len(out) < n; port++ {
		free := true
		for _, ip := range ips {
			addr := net.JoinHostPort(ip, strconv.Itoa(port))
			t, err := net.Listen("tcp", addr)
			if err != nil {
				free = false
				break
			}
			t.Close()
			u, err := net.ListenPacket("udp", addr)
			if err != nil {
				free = false
				break
			}
			u.Close()
		}
		if free {
			out = append(out, port)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("no free ports on loopback")
	}
	return out, nil
}

// newFleet writes the settings of n routers, from the template of the deploy file, and starts
// them. Each reaches the store through a link of its own.
func newFleet(n int, dir string, s *store, memoryMB int, bounds map[string]string, rec *record) (*fleet, error) {
	command, err := deployRun()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("platform/silverswitchd.ini")
	if err != nil {
		return nil, err
	}
	net3 := 1 + os.Getpid()%200
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()/200%200, net3, i+1))
	}
	ports, err := freePorts(ips, 5)
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, stopped: make(chan struct{}), memoryMB: memoryMB}
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	for i, ip := range ips {
		r := &router{name: fmt.Sprintf("front-%d", i+1), ip: ip, rec: rec, command: command}
		r.front, r.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
		if r.storeLink, err = newLink(s.addr); err != nil {
			return nil, err
		}
		values := map[string]string{
			"ip": ip, "zone": "hakata-a", "seeds": strings.Join(seeds, ","), "bootstrap": "true",
			"internal_port_range.0": strconv.Itoa(ports[3]), "internal_port_range.1": strconv.Itoa(ports[3]),
			"listen.front": r.front, "listen.ready": r.ready, "listen.control": fmt.Sprintf("%s:%d", ip, ports[2]),
			"platform.address": r.storeLink.addr,
			"limits.memory_mb": strconv.Itoa(max(memoryMB, 134)), "limits.max_fds": "4100", "limits.cpu_share": "0.4",
		}
		for k, v := range bounds {
			values["bounds."+k] = v
		}
		text := render(string(template), values, map[string]string{"hakata-a": "kyu-north"})
		text = strings.ReplaceAll(text, ":9464", ":"+strconv.Itoa(ports[4])) // the template's port need not be free here
		r.settings, r.logPath = filepath.Join(dir, r.name+".ini"), filepath.Join(dir, r.name+".log")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			f.stop()
			return nil, err
		}
		go f.watch(r)
		go f.askReady(r)
	}
	return f, nil
}

var (
	sectionTag = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in the settings template: sections whose value is missing are left out, and the
// section of the zones is repeated for each.
func render(text string, values, zones map[string]string) string {
	text = sectionTag.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionTag.FindStringSubmatch(s)
		if m[1] == "zones" {
			out := ""
			for zone, region := range zones {
				out += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(m[2])
			}
			return out
		}
		if _, known := values[m[1]]; !known {
			return ""
		}
		return m[2]
	})
	return valueTag.ReplaceAllStringFunc(text, func(s string) string { return values[s[2:len(s)-2]] })
}

func (r *router) start() error {
	out, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append([]string(nil), r.command[1:]...)
	for i, a := range args {
		if a == deploySettingsPath {
			args[i] = r.settings
		}
	}
	cmd := exec.Command(r.command[0], args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil // the run is over
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd = cmd
	r.rec.add("process %s starts", r.name)
	return nil
}

// restartDelay is the platform's delay before it starts a process again.
const restartDelay = 500 * time.Millisecond

// watch ends a process that exceeds its memory, and starts one that has ended again.
func (f *fleet) watch(r *router) {
	for {
		r.mu.Lock()
		cmd := r.cmd
		r.mu.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		if f.watchOnce(r, cmd, ended) {
			return
		}
		r.ends.Add(1)
		select {
		case <-f.stopped:
			return
		case <-time.After(restartDelay):
		}
		if err := r.start(); err != nil {
			f.rec.say("process %s doesn't start: %v", r.name, err)
			return
		}
		r.mu.Lock()
		over := r.stopping
		r.mu.Unlock()
		if over {
			return
		}
	}
}

// watchOnce watches one process until its end. It reports whether the run is over.
func (f *fleet) watchOnce(r *router, cmd *exec.Cmd, ended chan error) bool {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	killed := false
	for {
		select {
		case err := <-ended:
			r.mu.Lock()
			over := r.stopping
			r.mu.Unlock()
			if !over {
				f.rec.say("process %s has ended: %v (memory over the limit: %v)", r.name, err, killed)
			}
			return over
		case <-tick.C:
			mb := processMemoryMB(cmd.Process.Pid)
			if int64(mb) > r.peakMB.Load() {
				r.peakMB.Store(int64(mb))
			}
			if f.memoryMB > 0 && mb > f.memoryMB && !killed {
				killed = true
				f.rec.say("process %s uses %d MB, more than its %d MB: killed", r.name, mb, f.memoryMB)
				_ = cmd.Process.Kill()
			}
		}
	}
}

// processMemoryMB returns a process's anonymous memory. Pages of files don't count here, nor
// do bytes that wait in the kernel, so it is less than what the platform counts.
func processMemoryMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	i := bytes.Index(raw, []byte("RssAnon:"))
	if i < 0 {
		return 0
	}
	fields := bytes.Fields(raw[i+len("RssAnon:") : min(len(raw), i+60)])
	kb, _ := strconv.Atoi(string(fields[0]))
	return kb >> 10
}

// askReady asks a router once a second whether it is ready, as the platform does; two misses
// take it out of rotation.
func (f *fleet) askReady(r *router) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		res, err := c.Get("http://" + r.ready + "/silverswitch/ready")
		if err == nil {
			res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
			r.isReady.Store(true)
		} else if misses++; misses >= 2 {
			r.isReady.Store(false)
		}
		wait := time.Second
		if !r.isReady.Load() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-f.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// awaitReady waits until all routers are in rotation.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, r := range f.routers {
			if r.isReady.Load() {
				n++
			}
		}
		if n == len(f.routers) {
			return true
		}
	}
	return false
}

// pick returns the router for a requester: by its number among those in rotation.
func (f *fleet) pick(requester, attempt int) *router {
	var in []*router
	for _, r := range f.routers {
		if r.isReady.Load() {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		in = f.routers
	}
	return in[(requester+attempt)%len(in)]
}

// stop ends all routers.
func (f *fleet) stop() {
	close(f.stopped)
	for _, r := range f.routers {
		r.mu.Lock()
		r.stopping = true
		cmd := r.cmd
		r.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill()
		}
	}
	time.Sleep(200 * time.Millisecond)
}
