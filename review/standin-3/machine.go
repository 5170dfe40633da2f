package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Offsets of a machine's ports from the first one, which is the first internal port.
const (
	offsetAdmin = 15 + iota
	offsetReady
	offsetControl
	offsetApp
	offsetInbound
	offsetOutbound
	portCount
)

// adminPort is the port of the admin page in the templates of the deploy file.
const adminPort = 7395

// world holds the machines of one run and the places of their files.
type world struct {
	rec      *recorder
	folder   string
	basePort int
	machines []*machine
}

// machine is a machine of the deployment: a control instance or a node, with its one process.
type machine struct {
	w       *world
	name    string
	ip      string
	zone    string
	service string // empty on a machine of the core
	running *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func (m *machine) address(offset int) string {
	return fmt.Sprintf("%s:%d", m.ip, m.w.basePort+offset)
}

// findPorts returns the first of portCount ports that are free on all addresses.
func findPorts(ips []string) (int, error) {
	for base := 21000; base < 31000; base += 64 {
		if arePortsFree(ips, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func arePortsFree(ips []string, base int) bool {
	for _, ip := range ips {
		ports := []int{adminPort}
		for i := range int(portCount) {
			ports = append(ports, base+i)
		}
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) isCore() bool { return m.service == "" }

// writeSettings fills in the template of the machine's role.
func (m *machine) writeSettings(isFirstStart bool) (string, error) {
	seeds := []string{}
	for _, other := range m.w.machines {
		if other.isCore() && len(seeds) < 3 {
			seeds = append(seeds, other.address(offsetControl))
		}
	}
	fields := map[string]any{
		"nodeId": m.name, "ip": m.ip, "zone": m.zone, "region": "r", "service": m.service, "isBootstrap": isFirstStart,
		"dataDir": filepath.Join(m.w.folder, m.name+"-data"), "appAddr": m.address(offsetApp), "seeds": seeds,
		"internalPortRange": []int{m.w.basePort, m.w.basePort + 14},
		"limits":            map[string]any{"linkMbps": 1000.0},
		"listenAddrs": map[string]any{
			"inbound": m.address(offsetInbound), "outbound": m.address(offsetOutbound), "ready": m.address(offsetReady), "control": m.address(offsetControl),
		},
		"faultTolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{
			"grace": "6s", "configApply": "2000ms", "retryRatio": 0.2, "retryAllowance": 60, "retryWindow": "10s",
		},
	}
	template := "deploy/node.json.tmpl"
	if m.isCore() {
		template = "deploy/control.json.tmpl"
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	filled, err := fill(string(text), fields)
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.w.folder, m.name+".json")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(isFirstStart bool) error {
	settings, err := m.writeSettings(isFirstStart)
	if err != nil {
		return err
	}
	program := "target/celeryyard-sidecar"
	if m.isCore() {
		program = "target/celeryyard-core"
		if err := os.MkdirAll(filepath.Join(m.w.folder, m.name+"-data"), 0o700); err != nil {
			return err
		}
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(m.w.folder, m.name+".log")); err != nil {
			return err
		}
	}
	c := exec.Command(program, "--settings", settings)
	c.Stdout, c.Stderr = m.log, m.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	m.running, m.ended = c, make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(c, m.ended)
	return nil
}

// kill ends the machine's process at once and waits for its end.
func (m *machine) kill() {
	if m.running == nil {
		return
	}
	_ = m.running.Process.Kill()
	<-m.ended
	m.running = nil
}

// isReady asks the node's readiness probe.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.address(offsetReady) + "/celeryyard/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
