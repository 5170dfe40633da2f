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

// fleetKey is the fleet key of all fleets in tests.
const fleetKey = "test-fleet-key-0123456789"

// commandTimeout is the time after which a program started by runProgram is killed.
const commandTimeout = 2 * time.Minute

// Fleet is a set of control instances, nodes and upstreams, run as processes.
type Fleet struct {
	// Plan describes the processes. The fields Controls, Nodes and Upstreams have the order of the
	// plan's lists.
	Plan      *layout.Fleet
	Controls  []*Process
	Nodes     []*Process
	Upstreams []*Process
	// Relays holds the relay from each zone to each control instance of a different zone, by
	// "zone>instance"; empty unless the fleet was created with relays.
	Relays map[string]*relay.Relay

	t   testing.TB
	dir string
}

// NewFleet writes the settings, key and token files of the fleet that spec describes, and creates its
// data folders. It does not start any process. If withRelays is set, connections from each zone to
// the control instances of the other zones go through relays, which add delay in each direction.
func NewFleet(t testing.TB, spec layout.Spec, withRelays bool, delay time.Duration) *Fleet {
	t.Helper()
	f := &Fleet{t: t, dir: t.TempDir(), Relays: map[string]*relay.Relay{}}
	spec.Folder, spec.AllocateAddress = f.dir, func() string { return FreeAddress(t) }
	if withRelays {
		spec.LinkAddress = func(zone, instance, address string) string { return f.addRelay(zone, instance, address, delay) }
	}
	f.Plan = layout.Build(spec)
	f.writeFile(f.Plan.KeyFile, []byte(fleetKey))
	f.writeFile(f.Plan.TokensFile, encode(t, layout.Tokens()))
	f.writeFile(f.tokenFile("tacto-norte"), []byte(layout.TokenNorte))
	f.writeFile(f.tokenFile("kranjc"), []byte(layout.TokenKranjc))
	for _, p := range f.Plan.Controls {
		if folder, ok := p.Settings["instance"].(map[string]any)["data_folder"].(string); ok {
			if err := os.MkdirAll(folder, 0o700); err != nil {
				t.Fatal(err)
			}
		}
		f.Controls = append(f.Controls, f.newProcess(p, "celeryyard-control"))
	}
	for i, p := range f.Plan.Nodes {
		f.Nodes = append(f.Nodes, f.newProcess(p, "celeryyard-node"))
		f.Upstreams = append(f.Upstreams, f.newProcess(f.Plan.Upstreams[i], "celeryyard-upstream"))
	}
	return f
}

func (f *Fleet) newProcess(plan layout.Process, program string) *Process {
	process := NewProcess(f.t, f.dir, plan.Name, program, plan.Settings)
	process.AdminAddress = plan.AdminAddress
	return process
}

// addRelay returns the address of the relay between a zone and a control instance, and starts the
// relay if there is none yet. If the instance is in the zone, it returns the instance's own address.
func (f *Fleet) addRelay(zone, instance, address string, delay time.Duration) string {
	if strings.HasPrefix(instance, "control-"+zone+"-") {
		return address
	}
	key := zone + ">" + instance
	if f.Relays[key] == nil {
		f.Relays[key] = NewRelay(f.t, address, delay)
	}
	return f.Relays[key].Address
}

// Partition cuts the connections between a zone and the control instances of all other zones, and
// those between the other zones and the control instances of the zone, until Heal is called.
func (f *Fleet) Partition(zone string) { f.forEachZoneRelay(zone, (*relay.Relay).Cut) }

// Heal ends the partition of a zone.
func (f *Fleet) Heal(zone string) { f.forEachZoneRelay(zone, (*relay.Relay).Heal) }

// forEachZoneRelay calls do with each relay from a zone or to one of its control instances.
func (f *Fleet) forEachZoneRelay(zone string, do func(*relay.Relay)) {
	for key, r := range f.Relays {
		if strings.HasPrefix(key, zone+">") || strings.Contains(key, ">control-"+zone+"-") {
			do(r)
		}
	}
}

// Start starts the control instances, which bootstrap their quorum, waits until they are ready, and
// starts all nodes and upstreams. The nodes become ready only when they have a configuration.
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

// OperatorAddresses returns the operators' addresses of all control instances.
func (f *Fleet) OperatorAddresses() []string {
	var list []string
	for _, p := range f.Plan.Controls {
		list = append(list, p.OperatorsAddress)
	}
	return list
}

// Command runs the operators' command as the operator of an organisation. It returns the standard
// output, which is JSON, and the exit code.
func (f *Fleet) Command(organisation string, args ...string) (string, int) {
	f.t.Helper()
	var flags []string
	for _, a := range f.OperatorAddresses() {
		flags = append(flags, "--server", a)
	}
	return f.runCommand(organisation, append(flags, args...))
}

// CommandAt is like Command, but the command uses only the control instance at address server.
func (f *Fleet) CommandAt(server, organisation string, args ...string) (string, int) {
	f.t.Helper()
	return f.runCommand(organisation, append([]string{"--server", server}, args...))
}

func (f *Fleet) runCommand(organisation string, args []string) (string, int) {
	f.t.Helper()
	return f.runProgram("celeryyard", append([]string{"--token-file", f.tokenFile(organisation), "--output", "json"}, args...)...)
}

// runProgram runs a program and returns its standard output and exit code.
func (f *Fleet) runProgram(program string, args ...string) (string, int) {
	f.t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(filepath.Join(ProgramDir(f.t), program), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	timer := time.AfterFunc(commandTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	// A refused change is an expected result; other failures are logged.
	if err := cmd.Wait(); err != nil && cmd.ProcessState.ExitCode() != kernel.ExitRefused {
		f.t.Logf("%s %v: %v\n%s", program, args, err, tail(errs.Bytes()))
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// tail returns the last logTailBytes bytes of b.
func tail(b []byte) []byte { return b[max(0, len(b)-logTailBytes):] }

// WriteJSON writes a value as JSON to a file in the fleet's folder and returns the path.
func (f *Fleet) WriteJSON(name string, value any) string {
	path := filepath.Join(f.dir, name)
	f.writeFile(path, encode(f.t, value))
	return path
}

// Configure creates the template and the teams of all services with the operators' command. It waits
// until every node serves them and is ready.
func (f *Fleet) Configure() {
	f.t.Helper()
	f.mustRunCommand("tacto-norte", "template", "put", f.WriteJSON("template.json", layout.Template()))
	for i, s := range f.Plan.Spec.Services {
		args := []string{"team", "put", f.WriteJSON("team-"+s.Name+".json", layout.Team(s, 5000, nil))}
		if i == len(f.Plan.Spec.Services)-1 {
			args = append(args, "--wait")
		}
		f.mustRunCommand(s.Organisation, args...)
	}
	WaitReady(f.t, 20*time.Second, f.Nodes...)
}

// WaitServing waits until calls to every service succeed through every node.
func (f *Fleet) WaitServing() {
	f.t.Helper()
	WaitUntil(f.t, 20*time.Second, "every service answers through every node", func() bool {
		for _, s := range f.Plan.Spec.Services {
			for _, node := range f.Plan.Nodes {
				if !CallSucceeds(node.CallersAddress, s.Host()) {
					return false
				}
			}
		}
		return true
	})
}

// mustRunCommand is like Command, but fails the test unless the command succeeds.
func (f *Fleet) mustRunCommand(organisation string, args ...string) string {
	f.t.Helper()
	out, code := f.Command(organisation, args...)
	if code != 0 {
		f.t.Fatalf("celeryyard %v: exit code %d: %s", args, code, out)
	}
	return out
}

// RunLoad runs the load generator with the given section "load" of its settings, and returns its
// result and exit code.
func (f *Fleet) RunLoad(name string, section map[string]any) (*load.Result, int) {
	f.t.Helper()
	path := f.WriteJSON(name+".json", map[string]any{"instance": map[string]any{"name": name}, "load": section})
	out, code := f.runProgram("celeryyard-load", "run", "--settings", path, "--output", "json")
	var r load.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		f.t.Fatalf("result of %s (exit code %d): %v\n%s", name, code, err, out)
	}
	return &r, code
}

// CallerAddresses returns the address of each node's listener for callers.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, p := range f.Plan.Nodes {
		list = append(list, p.CallersAddress)
	}
	return list
}

// ReportAddresses returns the address of each stand-in's listener for GET /executions.
func (f *Fleet) ReportAddresses() []string {
	var list []string
	for _, p := range f.Plan.Upstreams {
		list = append(list, p.ReportAddress)
	}
	return list
}

// OrganisationLoads returns a value of the setting load/organisations, with one element for each
// service. The weight of a service is its number of endpoints.
func (f *Fleet) OrganisationLoads() []map[string]any {
	var list []map[string]any
	for _, s := range f.Plan.Spec.Services {
		list = append(list, map[string]any{
			"name": s.Organisation, "host": s.Host(), "path": "/", "weight": s.Endpoints,
		})
	}
	return list
}

// ServedVersion returns the version that a node serves, from its metrics, or 0 if there is none.
func (p *Process) ServedVersion() uint64 {
	v, _ := p.Metric("celeryyard_view_version")
	return uint64(v)
}

func (f *Fleet) tokenFile(organisation string) string {
	return filepath.Join(f.dir, "token-"+organisation)
}

func (f *Fleet) writeFile(path string, text []byte) {
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

// NumberField returns the number in a field of the JSON output of a command, or 0 if there is none.
func NumberField(out, name string) uint64 {
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
