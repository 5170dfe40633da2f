// Command standin plays one case of the review: it starts the programs of the project as separate
// processes on loopback addresses and plays the clients, the endpoints, the operator and the platform
// around them.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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
)

// Values of the settings of tacto-norte.
const (
	grace          = 6 * time.Second
	drain          = 2 * time.Second
	contact        = 3 * time.Second
	beatInterval   = 1500 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	slots          = 9
	operatorWait   = time.Second
	startupTimeout = 25 * time.Second
)

// ports are the ports of every machine of a day.
type ports struct{ peer, admin, control, inbound, outbound, ready, app int }

// machine is one machine with one process of the system.
type machine struct {
	p         *platform
	name, ip  string
	zone      string
	role      string // "node" or "control"
	service   string // of the endpoint beside a node
	bootstrap bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// platform runs the machines of one case.
type platform struct {
	dir      string
	ports    ports
	controls []*machine
	nodes    []*machine
	record   *record
}

// newPlatform lays out three control machines and one node for each of the services, each in the next
// of three zones. It finds an unused part of the loopback range.
func newPlatform(rec *record, services []string) (*platform, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &platform{dir: dir, record: rec}
	zones := []string{"z-a", "z-b", "z-c"}
	subnet := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for i := range 3 {
		p.controls = append(p.controls, &machine{p: p, name: fmt.Sprintf("core-%s", zones[i]), ip: fmt.Sprintf("%s.%d", subnet, 10+i), zone: zones[i], role: "control", bootstrap: true})
	}
	for i, s := range services {
		p.nodes = append(p.nodes, &machine{p: p, name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], 1+i/3), ip: fmt.Sprintf("%s.%d", subnet, 100+i), zone: zones[i%3], role: "node", service: s, bootstrap: true})
	}
	return p, p.choosePorts()
}

// choosePorts selects ports that are free on all machines.
func (p *platform) choosePorts() error {
	var found []int
	for range 200 {
		port := 20000 + rand.IntN(12000)
		if p.isFree(port) {
			found = append(found, port)
		}
		if len(found) == 7 {
			p.ports = ports{found[0], found[1], found[2], found[3], found[4], found[5], found[6]}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (p *platform) isFree(port int) bool {
	for _, m := range p.machines() {
		l, err := net.Listen("tcp", m.address(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (p *platform) machines() []*machine {
	return append(append([]*machine{}, p.controls...), p.nodes...)
}

var (
	sectionPattern     = regexp.MustCompile(`\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/[A-Za-z0-9.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

// settings fills in the template of the machine's role as DEPLOY.md tells.
func (m *machine) settings() ([]byte, error) {
	po := m.p.ports
	var seeds []string
	for _, c := range m.p.controls {
		seeds = append(seeds, c.address(po.control))
	}
	fields := map[string]any{
		"nodeId": m.name, "ip": m.ip, "zone": m.zone, "region": "r", "isBootstrap": m.bootstrap, "dataDir": filepath.Join(m.p.dir, m.name),
		"internalPortRange.0": po.peer, "seeds": seeds, "service": m.service, "appAddr": m.address(po.app),
		"listenAddrs.control": m.address(po.control), "listenAddrs.inbound": m.address(po.inbound),
		"listenAddrs.outbound": m.address(po.outbound), "listenAddrs.ready": m.address(po.ready),
		"bounds.grace": grace.String(), "bounds.retryRatio": 0.2, "bounds.retryAllowance": 60, "bounds.retryWindow": "10s",
		"faultTolerance.machines": 1, "limits.linkMbps": 1000.0,
	}
	text, err := os.ReadFile(filepath.Join("deploy", m.role+".json.tmpl"))
	if err != nil {
		return nil, err
	}
	text = sectionPattern.ReplaceAllFunc(text, func(b []byte) []byte {
		g := sectionPattern.FindSubmatch(b)
		if _, ok := fields[string(g[1])]; !ok {
			return nil
		}
		return bytes.ReplaceAll(g[2], []byte("{{.}}"), []byte("{{"+string(g[1])+"}}"))
	})
	text = placeholderPattern.ReplaceAllFunc(text, func(b []byte) []byte {
		g := placeholderPattern.FindSubmatch(b)
		v := fields[string(g[1])]
		if len(g[2]) == 0 {
			return []byte(fmt.Sprint(v))
		}
		out, _ := json.Marshal(v) // strings only
		return out
	})
	return bytes.ReplaceAll(text, []byte(":7395"), []byte(fmt.Sprintf(":%d", po.admin))), nil
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.p.dir, m.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.p.dir, m.name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.p.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	program := map[string]string{"node": "target/celeryyard-sidecar", "control": "target/celeryyard-core"}[m.role]
	cmd := exec.Command(program, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.bootstrap = cmd, done, false
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	m.p.record.add("platform", "%s started", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.exited
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace.
func (m *machine) terminate() {
	m.p.record.add("platform", "%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	done := m.exited
	m.mu.Unlock()
	select {
	case <-done:
		m.p.record.add("platform", "%s has ended", m.name)
	case <-time.After(grace):
		m.p.record.add("platform", "%s gets SIGKILL at the end of the grace", m.name)
		m.kill()
	}
}

// startAll starts every machine.
func (p *platform) startAll() error {
	for _, m := range p.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder, unless REVIEW_KEEP is set.
func (p *platform) close() {
	for _, m := range p.machines() {
		m.kill()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("kept:", p.dir)
	}
}

// ready reports whether the node answers the platform's question with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + m.address(m.p.ports.ready) + "/celeryyard/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until every node is ready.
func (p *platform) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range p.nodes {
			if m.ready() {
				n++
			}
		}
		if n == len(p.nodes) {
			return nil
		}
	}
	return errors.New("the nodes were not ready in time")
}

// route is one route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             time.Duration
	priority                    int
}

const routeHost = "review.example"

// configure sends a configuration as the operator does, until it is acknowledged.
func (p *platform) configure(number, base int, routes []route, services []string) error {
	var rs, ss []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":%q,"timeout":"%dms","targetLatency":"%dms","priority":%d,"service":%q,"maxAttempts":2}`,
			r.name, routeHost, r.prefix, r.kind, r.timeout.Milliseconds(), r.target.Milliseconds(), r.priority, r.service))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}`, s))
	}
	body := fmt.Sprintf(`{"version":"r%d","routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":"r%d"}`,
		number, strings.Join(rs, ","), strings.Join(ss, ","), base)
	client := http.Client{Timeout: operatorWait}
	end := time.Now().Add(startupTimeout)
	for i := 0; time.Now().Before(end); i++ {
		r, err := http.NewRequest(http.MethodPut, "http://"+p.controls[i%3].address(p.ports.control)+"/celeryyard/config", strings.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.record.add("operator", "configuration r%d is acknowledged", number)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration r%d was not acknowledged", number)
}
