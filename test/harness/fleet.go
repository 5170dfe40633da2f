package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/plugin/experiment/relay"
	"github.com/celeryyard/celeryyard/plugin/load"
)

// fleetKey is the fleet key of tests.
const fleetKey = "test-fleet-key-0123456789"

// commandLimit bounds one run of a command.
const commandLimit = 2 * time.Minute

// Fleet is a set of running processes.
type Fleet struct {
	Plan      *layout.Fleet
	Controls  []*Process
	Nodes     []*Process
	Upstreams []*Process
	// Links holds the relay from each zone to each control instance of another
	// zone, by "zone>instance"; empty unless the fleet was made with links.
	Links map[string]*relay.Relay

	t   testing.TB
	dir string
}

// NewFleet writes settings, key, tokens and data folders for spec and starts
// nothing. links puts relays between zones and control instances of other zones,
// with the given delay.
func NewFleet(t testing.TB, spec layout.Spec, links bool, delay time.Duration) *Fleet {
	t.Helper()
	f := &Fleet{t: t, dir: t.TempDir(), Links: map[string]*relay.Relay{}}
	spec.Folder, spec.Address = f.dir, func() string { return Address(t) }
	if links {
		spec.Link = func(zone, instance, address string) string { return f.link(zone, instance, address, delay) }
	}
	f.Plan = layout.Build(spec)
	f.write(f.Plan.KeyFile, []byte(fleetKey))
	f.write(f.Plan.TokensFile, encode(t, layout.Tokens()))
	f.write(f.tokenFile("tacto-norte"), []byte(layout.TokenNorte))
	f.write(f.tokenFile("kranjc"), []byte(layout.TokenKranjc))
	for _, p := range f.Plan.Controls {
		if folder, ok := p.Settings["instance"].(map[string]any)["data_folder"].(string); ok {
			if err := os.MkdirAll(folder, 0o700); err != nil {
				t.Fatal(err)
			}
		}
		f.Controls = append(f.Controls, f.process(p, "celeryyard-control"))
	}
	for i, p := range f.Plan.Nodes {
		f.Nodes = append(f.Nodes, f.process(p, "celeryyard-node"))
		f.Upstreams = append(f.Upstreams, f.process(f.Plan.Upstreams[i], "celeryyard-upstream"))
	}
	return f
}

func (f *Fleet) process(p layout.Process, program string) *Process {
	q := NewProcess(f.t, f.dir, p.Name, program, p.Settings)
	q.Admin = p.Admin
	return q
}

func (f *Fleet) link(zone, instance, address string, delay time.Duration) string {
	if strings.HasPrefix(instance, "control-"+zone+"-") {
		return address
	}
	key := zone + ">" + instance
	if f.Links[key] == nil {
		f.Links[key] = NewRelay(f.t, address, delay)
	}
	return f.Links[key].Address
}

// Partition cuts a zone from the control instances of all other zones, in both
// directions; Heal ends it.
func (f *Fleet) Partition(zone string) { f.eachLink(zone, (*relay.Relay).Cut) }

// Heal ends the partition of a zone.
func (f *Fleet) Heal(zone string) { f.eachLink(zone, (*relay.Relay).Heal) }

func (f *Fleet) eachLink(zone string, do func(*relay.Relay)) {
	for key, r := range f.Links {
		if strings.HasPrefix(key, zone+">") || strings.Contains(key, ">control-"+zone+"-") {
			do(r)
		}
	}
}

// Start forms the group of voters and starts all nodes and upstreams. It waits
// until the control instances are ready; nodes become ready with the first
// configuration.
func (f *Fleet) Start() {
	f.t.Helper()
	for _, p := range f.Controls {
		p.Start("--bootstrap")
	}
	WaitReady(f.t, 20*time.Second, f.Controls...)
	for i := range f.Nodes {
		f.Nodes[i].Start()
		f.Upstreams[i].Start()
	}
}

// Operators returns the operators' addresses of all control instances.
func (f *Fleet) Operators() []string {
	var list []string
	for _, p := range f.Plan.Controls {
		list = append(list, p.Operators)
	}
	return list
}

// Command runs the operators' command for an organisation and returns its
// standard output and exit code.
func (f *Fleet) Command(organisation string, args ...string) (string, int) {
	f.t.Helper()
	var all []string
	for _, a := range f.Operators() {
		all = append(all, "--server", a)
	}
	return f.command(organisation, append(all, args...))
}

// CommandAt is Command with one control instance only.
func (f *Fleet) CommandAt(server, organisation string, args ...string) (string, int) {
	f.t.Helper()
	return f.command(organisation, append([]string{"--server", server}, args...))
}

func (f *Fleet) command(organisation string, args []string) (string, int) {
	f.t.Helper()
	return f.run("celeryyard", append([]string{"--token-file", f.tokenFile(organisation), "--output", "json"}, args...)...)
}

// run runs a program and returns its standard output and exit code.
func (f *Fleet) run(program string, args ...string) (string, int) {
	f.t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(filepath.Join(Binaries(f.t), program), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	timer := time.AfterFunc(commandLimit, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	// A refused change is an answer; anything else is worth a look.
	if err := cmd.Wait(); err != nil && cmd.ProcessState.ExitCode() != kernel.ExitRefused {
		f.t.Logf("%s %v: %v\n%s", program, args, err, tail(errs.Bytes()))
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

func tail(b []byte) []byte { return b[max(0, len(b)-logTail):] }

// File writes a value as JSON to a file of the fleet and returns its path.
func (f *Fleet) File(name string, value any) string {
	path := filepath.Join(f.dir, name)
	f.write(path, encode(f.t, value))
	return path
}

// Configure puts the template and the teams of all services with the operators'
// command and waits until every node has them.
func (f *Fleet) Configure() {
	f.t.Helper()
	f.accepted("tacto-norte", "template", "put", f.File("template.json", layout.Template()))
	for i, s := range f.Plan.Spec.Services {
		args := []string{"team", "put", f.File("team-"+s.Name+".json", layout.Team(s, 5000, nil))}
		if i == len(f.Plan.Spec.Services)-1 {
			args = append(args, "--wait")
		}
		f.accepted(s.Organisation, args...)
	}
	WaitReady(f.t, 20*time.Second, f.Nodes...)
}

// WaitServing waits until every service answers through every node.
func (f *Fleet) WaitServing() {
	f.t.Helper()
	Wait(f.t, 20*time.Second, "every service answers through every node", func() bool {
		for _, s := range f.Plan.Spec.Services {
			for _, node := range f.Plan.Nodes {
				if !Answers(node.Callers, s.Host()) {
					return false
				}
			}
		}
		return true
	})
}

func (f *Fleet) accepted(organisation string, args ...string) string {
	f.t.Helper()
	out, code := f.Command(organisation, args...)
	if code != 0 {
		f.t.Fatalf("celeryyard %v: exit code %d: %s", args, code, out)
	}
	return out
}

// Load runs the load generator with a section "load" and returns its result and
// exit code.
func (f *Fleet) Load(name string, section map[string]any) (*load.Result, int) {
	f.t.Helper()
	path := f.File(name+".json", map[string]any{"instance": map[string]any{"name": name}, "load": section})
	out, code := f.run("celeryyard-load", "run", "--settings", path, "--output", "json")
	var r load.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		f.t.Fatalf("result of %s (exit code %d): %v\n%s", name, code, err, out)
	}
	return &r, code
}

// Callers and Reports return the addresses of all nodes and stand-ins.
func (f *Fleet) Callers() []string {
	var list []string
	for _, p := range f.Plan.Nodes {
		list = append(list, p.Callers)
	}
	return list
}

// Reports returns the addresses of the stand-ins' reports.
func (f *Fleet) Reports() []string {
	var list []string
	for _, p := range f.Plan.Upstreams {
		list = append(list, p.Report)
	}
	return list
}

// Sources returns one element of load/organisations for each service.
func (f *Fleet) Sources() []map[string]any {
	var list []map[string]any
	for _, s := range f.Plan.Spec.Services {
		list = append(list, map[string]any{
			"name": s.Organisation, "host": s.Host(), "path": "/", "weight": s.Endpoints,
		})
	}
	return list
}

// Version returns the version that a node serves, from its metrics.
func (p *Process) Version() uint64 {
	v, _ := p.Metric("celeryyard_view_version")
	return uint64(v)
}

func (f *Fleet) tokenFile(organisation string) string {
	return filepath.Join(f.dir, "token-"+organisation)
}

func (f *Fleet) write(path string, text []byte) {
	f.t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func encode(t testing.TB, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Field returns a number from the JSON output of a command, 0 when it is absent.
func Field(out, name string) uint64 {
	var m map[string]any
	if json.Unmarshal([]byte(out), &m) != nil {
		return 0
	}
	switch v := m[name].(type) {
	case float64:
		return uint64(v)
	case string:
		n, _ := strconv.ParseUint(v, 10, 64)
		return n
	}
	return 0
}
