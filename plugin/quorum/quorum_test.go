package quorum_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/kernel/settings"
	_ "github.com/celeryyard/celeryyard/plugin/quorum" // registers itself
)

func init() {
	kernel.Register(kernel.Registration{
		Name: "testmachine", Needs: []string{"quorum"},
		New: func(c *kernel.Context) (kernel.Plugin, error) {
			m := &testMachine{log: kernel.MustFind[api.Log](c, "quorum")}
			m.log.SetStateMachine(m)
			return m, nil
		},
	})
}

// testMachine is a state machine that records every applied text.
type testMachine struct {
	log        api.Log
	kernel     *kernel.Kernel
	mu         sync.Mutex
	texts      []string
	applyDelay time.Duration // duration of each Apply
}

func (m *testMachine) Start(context.Context) error { return nil }
func (m *testMachine) Stop(context.Context) error  { return nil }

func (m *testMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	time.Sleep(m.applyDelay)
	m.texts = append(m.texts, string(data))
	return len(m.texts)
}

func (m *testMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.texts)
}

func (m *testMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.texts = nil
	return json.Unmarshal(b, &m.texts)
}

func (m *testMachine) appliedTexts() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.texts, ",")
}

func (m *testMachine) propose(timeout time.Duration, text string) error {
	result := make(chan error, 1)
	m.log.Propose([]byte(text), timeout, func(_ any, err error) { result <- err })
	return <-result
}

func (m *testMachine) barrier(timeout time.Duration) error {
	result := make(chan error, 1)
	m.log.Barrier(timeout, func(err error) { result <- err })
	return <-result
}

// group runs several instances in the test process.
type group struct {
	t             testing.TB
	names         []string
	addresses     map[string]string
	dirs          map[string]string
	keyFile       string
	extraSettings string // JSON members appended to the quorum settings, with a leading comma
	machines      map[string]*testMachine
	stop          map[string]func()
	// settingsOf returns the settings of an instance; nil for a group with listed voters.
	settingsOf func(name string) string
}

var testPlugins = []string{"peer", "journal", "quorum", "testmachine"}

const voterNames = `["a", "b", "c"]`

func newGroup(t testing.TB, names ...string) *group {
	g := &group{t: t, names: names, addresses: map[string]string{}, dirs: map[string]string{}, keyFile: kerneltest.WriteFleetKeyFile(t),
		machines: map[string]*testMachine{}, stop: map[string]func(){}}
	root := t.TempDir()
	for _, n := range names {
		g.addresses[n] = kerneltest.FreeAddress(t)
		if strings.Contains(voterNames, `"`+n+`"`) {
			g.dirs[n] = filepath.Join(root, n)
			if err := os.Mkdir(g.dirs[n], 0o750); err != nil {
				t.Fatal(err)
			}
		}
	}
	return g
}

func (g *group) start(name string, bootstrap bool) *testMachine {
	g.t.Helper()
	k, stop := kerneltest.Start(g.t, testPlugins, g.settings(name), bootstrap)
	m := k.Plugin("testmachine").(*testMachine)
	m.kernel = k
	g.machines[name], g.stop[name] = m, stop
	kerneltest.WaitUntil(g.t, 5*time.Second, "start of "+name, func() bool { return m.log.Status().Member != "" })
	return m
}

// runUntilExit runs an instance that is expected to end by itself and returns its error.
func (g *group) runUntilExit(name string, bootstrap bool) error {
	g.t.Helper()
	file, err := settings.Parse("test.json", []byte(g.settings(name)))
	if err != nil {
		g.t.Fatal(err)
	}
	k, err := kernel.New(kernel.Options{Plugins: testPlugins, Settings: file, Log: io.Discard, Bootstrap: bootstrap})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return k.Run(ctx)
}

func (g *group) settings(name string) string {
	if g.settingsOf != nil {
		return g.settingsOf(name)
	}
	var list []string
	for _, n := range g.names {
		list = append(list, fmt.Sprintf(`{"name": %q, "address": %q}`, n, g.addresses[n]))
	}
	return fmt.Sprintf(`{"instance": {"name": %q, "fleet_key_file": %q, "data_folder": %q},
		"peer": {"listen": %q, "instances": [%s]},
		"journal": {"segment_bytes": 65536},
		"quorum": {"voters": %s %s}}`, name, g.keyFile, g.dirs[name], g.addresses[name], strings.Join(list, ","), voterNames, g.extraSettings)
}

func (g *group) leaderName() string {
	for _, n := range g.names {
		if m := g.machines[n]; m != nil && m.log.Status().Role == "leader" {
			return n
		}
	}
	return ""
}

func (g *group) waitLeader() string {
	g.t.Helper()
	name := ""
	kerneltest.WaitUntil(g.t, 10*time.Second, "a leader", func() bool { name = g.leaderName(); return name != "" })
	return name
}

func (g *group) waitApplied(want string, names ...string) {
	g.t.Helper()
	for _, n := range names {
		kerneltest.WaitUntil(g.t, 10*time.Second, n+" applies "+want, func() bool { return g.machines[n].appliedTexts() == want })
	}
}

// startVoters creates a group of the instances in names, starts its voters a, b and c, and waits
// for a leader. The test itself starts the instances in names that are not voters. extraSettings has
// the form of group.extraSettings.
func startVoters(t testing.TB, extraSettings string, names ...string) *group {
	g := newGroup(t, names...)
	g.extraSettings = extraSettings
	for _, n := range []string{"a", "b", "c"} {
		g.start(n, true)
	}
	g.waitLeader()
	return g
}

// Guards against entries that are lost, reordered or applied on only some of the instances. Each
// instance proposes an entry. After a stop of all instances, the voters start again and must still
// have all entries.
func TestProposalsReachAllInstances(t *testing.T) {
	t.Parallel()
	g := startVoters(t, "", "a", "b", "c", "d")
	g.start("d", false)
	g.machines["b"].applyDelay = 20 * time.Millisecond // barriers at b have to wait
	want := ""
	for i, n := range []string{"a", "b", "c", "d", "a"} {
		text := fmt.Sprint(i)
		if err := g.machines[n].propose(5*time.Second, text); err != nil {
			t.Fatalf("proposal at %s: %v", n, err)
		}
		want = strings.TrimPrefix(want+","+text, ",")
		if err := g.machines["b"].barrier(5 * time.Second); err != nil {
			t.Fatalf("barrier: %v", err)
		}
		if got := g.machines["b"].appliedTexts(); got != want {
			t.Fatalf("after the barrier: %q, want %q", got, want)
		}
	}
	g.waitApplied(want, "a", "b", "c", "d")
	for _, n := range g.names {
		g.stop[n]()
	}
	for _, n := range []string{"a", "b", "c"} {
		g.start(n, false)
	}
	g.waitLeader()
	if err := g.machines["c"].propose(5*time.Second, "last"); err != nil {
		t.Fatal(err)
	}
	g.waitApplied(want+",last", "a", "b", "c")
}

// Guards against a proposal that is reported as not executed by an instance without a
// majority, but applied later.
func TestProposalWithoutLeaderIsNotRun(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	m := g.start("a", true)
	if err := m.propose(200*time.Millisecond, "x"); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("proposal without a group: %v", err)
	}
	if err := m.barrier(200 * time.Millisecond); err == nil {
		t.Fatal("barrier completed without a group")
	}
	g.start("b", true)
	g.start("c", true)
	g.waitLeader()
	if err := m.propose(5*time.Second, "y"); err != nil {
		t.Fatal(err)
	}
	g.waitApplied("y", "a", "b", "c")
}
