//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, as in the example of DEPLOY.md. Each machine has a loopback address of its own.
const (
	portFront   = 8783
	portReady   = 8780
	portControl = 8785
	portPeer    = 7400
	portMetrics = 9464
)

// Bounds of the site, as SYSTEM.md states them.
const (
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	graceBound = 8 * time.Second
)

// router is a process of the system on a machine of its own.
type router struct {
	name, ip string
	settings string
	log      *os.File
	env      []string
	program  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
}

func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, portFront) }

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP() string {
	for range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFront, portReady, portControl, portPeer, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip
		}
	}
	fail("no free loopback address")
	return ""
}

// deployed reads the command, its environment and the template of the role from the deploy file.
func deployed() (run, template string, env []string) {
	raw, err := os.ReadFile("deploy/system.toml")
	must(err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		key, value, _ := strings.Cut(line, " = ")
		switch key {
		case "run":
			run = strings.Trim(value, `"`)
		case "template":
			template = strings.Trim(value, `"`)
		case "env":
			for pair := range strings.SplitSeq(strings.Trim(value, "{} "), ",") {
				name, text, _ := strings.Cut(pair, "=")
				env = append(env, strings.TrimSpace(name)+"="+strings.Trim(strings.TrimSpace(text), `"`))
			}
		}
	}
	return run, template, env
}

// newFleet prepares the machines; stores has the address of the store as each machine reaches it.
func newFleet(dir string, stores []string, bounds map[string]string) []*router {
	run, template, env := deployed()
	raw, err := os.ReadFile(template)
	must(err)
	var ips, seeds []string
	for range stores {
		ip := freeIP()
		ips = append(ips, ip)
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	var fleet []*router
	for i, ip := range ips {
		values := map[string]string{
			"ip": ip, "zone": "zone-a", "internal_port_range.0": fmt.Sprint(portPeer), "internal_port_range.1": fmt.Sprint(portPeer + 15),
			"listen.front": fmt.Sprintf("%s:%d", ip, portFront), "listen.control": fmt.Sprintf("%s:%d", ip, portControl), "listen.ready": fmt.Sprintf("%s:%d", ip, portReady),
			"seeds": strings.Join(seeds, ","), "platform.address": stores[i], "platform.history_s": "20",
			"limits.memory_mb": "134", "limits.max_fds": "4100", "limits.cpu_share": "0.4",
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.retry_budget_slack": "52", "bounds.grace_s": "8",
		}
		for k, v := range bounds {
			values[k] = v
		}
		r := &router{name: fmt.Sprintf("front-%d", i+1), ip: ip, settings: filepath.Join(dir, fmt.Sprintf("r%d.ini", i+1)), env: env, program: strings.Fields(run)[0]}
		must(os.WriteFile(r.settings, []byte(fill(string(raw), values)), 0o600))
		r.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("r%d.log", i+1)))
		must(err)
		fleet = append(fleet, r)
	}
	return fleet
}

// fill fills in the template of settings, whose sections stand on lines of their own.
func fill(template string, values map[string]string) string {
	var out []string
	section := ""
	for line := range strings.SplitSeq(template, "\n") {
		switch {
		case strings.HasPrefix(line, "{{#"):
			section = strings.Trim(line, "{}#")
			continue
		case strings.HasPrefix(line, "{{/"):
			section = ""
			continue
		case section == "zones":
			line = "zone-a = region-a"
		case section != "" && values[section] == "":
			continue
		}
		for k, v := range values {
			line = strings.ReplaceAll(line, "{{"+k+"}}", v)
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// start starts the process.
func (r *router) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(r.program, "-settings", r.settings)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, r.env...)
	must(cmd.Start())
	ended := make(chan struct{})
	r.cmd, r.ended, r.started = cmd, ended, time.Now()
	go func() {
		_ = cmd.Wait() // the end is what counts
		close(ended)
	}()
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process at once, and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.ended
}

// running reports whether the process has not ended.
func (r *router) running() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// startedAt returns when the process was started last.
func (r *router) startedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// awaitReady waits until the machine reports itself ready.
func (r *router) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get(fmt.Sprintf("http://%s:%d/silverswitch/ready", r.ip, portReady))
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func must(err error) {
	if err != nil {
		fail(err.Error())
	}
}
