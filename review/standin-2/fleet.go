// Command standin-2 runs a small deployment of the programs that deploy/system.toml names, on loopback
// addresses, with stand-ins for clients, endpoints, operators and the platform. Each scenario shows one
// case of the review; review/build-2.sh builds the program.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// ports are the same on all machines of a deployment.
type ports struct{ internal, control, inbound, outbound, ready, app int }

// machine is one machine of the deployment with its one process.
type machine struct {
	name, class, zone, ip, service string
	settings, folder               string
	cmd                            *exec.Cmd
	exited                         chan struct{}
	stopping                       bool
}

// fleet is a deployment.
type fleet struct {
	folder   string
	ports    ports
	octet    int
	machines []*machine
	seeds    []string
	first    bool
	began    time.Time
	http     *http.Client // of the operator, the platform and the endpoints

	mu     sync.Mutex
	record io.Writer
	exits  []string
}

// current is the deployment of the scenario.
var current *fleet

// note writes one line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet prepares a deployment with one control machine and one or more endpoints in each of three zones. It starts
// nothing.
func newFleet(record io.Writer, services ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: record, began: time.Now(), first: true}
	f.http = &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: httphead.MaxBytes}}
	current = f
	if err := f.findAddresses(3 + len(services)); err != nil {
		return nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), class: "core", zone: zone, ip: f.ip(i + 1)}
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, f.ports.control))
		f.machines = append(f.machines, m)
	}
	for i, service := range services {
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("sidecar-%d", i+1), class: "sidecar", zone: zones[i%len(zones)], ip: f.ip(10 + i), service: service,
		})
	}
	return f, nil
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", f.octet, n) }

// findAddresses chooses loopback addresses and ports that are free.
func (f *fleet) findAddresses(machines int) error {
	for range 50 {
		f.octet = 20 + rand.IntN(200)
		base := 12000 + rand.IntN(18000)
		f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		free := true
		for n := 1; n < 14+machines && free; n++ {
			for p := base; p < base+6 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(n), p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fields returns the fields that the platform fills into a template.
func (f *fleet) fields(m *machine) map[string]any {
	listen := map[string]any{"control": f.address(m, f.ports.control)}
	out := map[string]any{
		"nodeId": m.name, "ip": m.ip, "zone": m.zone, "region": "region-1", "isBootstrap": f.first, "seeds": f.seeds,
		"internalPortRange": []any{f.ports.internal, f.ports.internal}, "listenAddrs": listen,
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"limits":         map[string]any{"linkMbps": 1000},
		"bounds":         map[string]any{"grace": "6s", "configApply": "2000ms", "retryRatio": 0.2, "retryAllowance": 60, "retryWindow": "10s"},
	}
	if m.class == "core" {
		out["dataDir"] = m.folder
		return out
	}
	listen["inbound"], listen["outbound"], listen["ready"] = f.address(m, f.ports.inbound), f.address(m, f.ports.outbound), f.address(m, f.ports.ready)
	out["service"], out["appAddr"] = m.service, f.address(m, f.ports.app)
	return out
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/([A-Za-z.]+)\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

// fill fills in a settings template as docs of the platform describe it, as far as the deploy folder needs it.
func fill(template string, fields map[string]any) string {
	look := func(path string) any {
		var v any = fields
		for part := range strings.SplitSeq(path, ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []any:
				v = x[0]
			default:
				return nil
			}
		}
		return v
	}
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v := look(m[1])
		if v == nil || v == false {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(v))
	})
	return fieldPattern.ReplaceAllStringFunc(out, func(s string) string {
		m := fieldPattern.FindStringSubmatch(s)
		v := look(m[1])
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(m *machine) error {
	m.folder = filepath.Join(f.folder, m.name, "data")
	m.settings = filepath.Join(f.folder, m.name, "settings.toml")
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return err
	}
	path := "deploy/node.json.tmpl"
	if m.class == "core" {
		path = "deploy/control.json.tmpl"
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	admin := strings.ReplaceAll(string(text), "{{ip}}:7395", fmt.Sprintf("{{ip}}:%d", f.ports.internal+9))
	return os.WriteFile(m.settings, []byte(fill(admin, f.fields(m))), 0o644)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/celeryyard-"+m.class, "--settings", m.settings)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CELERYYARD_NODE_FILE=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited, m.stopping = make(chan struct{}), false
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		f.mu.Lock()
		if !m.stopping {
			f.exits = append(f.exits, fmt.Sprintf("%s: %v", m.name, err))
		}
		f.mu.Unlock()
		close(done)
	}(m.cmd, m.exited)
	f.note("platform starts %s (isBootstrap %v)", m.name, f.first)
	return nil
}

// startAll starts all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		f.mu.Lock()
		m.stopping = true
		f.mu.Unlock()
	}
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
	f.note("platform sends %v to %s", s, m.name)
}

// kill ends processes at one moment and waits for their ends.
func (f *fleet) kill(list ...*machine) {
	for _, m := range list {
		f.signal(m, syscall.SIGKILL)
	}
	for _, m := range list {
		<-m.exited
	}
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		f.mu.Lock()
		m.stopping = true
		f.mu.Unlock()
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) cores() []*machine    { return f.ofClass("core") }
func (f *fleet) sidecars() []*machine { return f.ofClass("sidecar") }
func (f *fleet) ofClass(class string) []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

// operator sends one call of the operator. status is 0 without an answer.
func (f *fleet) operator(m *machine, method string, body []byte, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(m, f.ports.control)+"/celeryyard/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := f.http.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// order sends a configuration, to other instances by turns, until it gets a clear answer or time is up.
func (f *fleet) order(body []byte, within time.Duration) int {
	end, last := time.Now().Add(within), 0
	for i := 0; time.Now().Before(end); i++ {
		cores := f.cores()
		status, _ := f.operator(cores[i%len(cores)], http.MethodPut, body, time.Second)
		last = status
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		time.Sleep(time.Duration(50+50*min(i, 9)) * time.Millisecond)
	}
	return last
}

// route is a route of a configuration as the operator writes it.
type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Kind       string `json:"routeKind"`
	Timeout    string `json:"timeout"`
	Target     string `json:"targetLatency"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"maxAttempts"`
}

// configuration returns a configuration of the operator.
func configuration(version, base int, services []string, routes ...route) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base), "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	return b
}

// awaitReady waits until the node of a machine is ready.
func (f *fleet) awaitReady(m *machine, within time.Duration) bool {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		resp, err := f.http.Get("http://" + f.address(m, f.ports.ready) + "/celeryyard/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
