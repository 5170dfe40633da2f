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
			m := &machine{log: kernel.Use[api.Log](c, "quorum")}
			m.log.Attach(m)
			return m, nil
		},
	})
}

// machine is a state machine that keeps every applied text.
type machine struct {
	log    api.Log
	kernel *kernel.Kernel
	mu     sync.Mutex
	list   []string
	slow   time.Duration // time that each entry takes
}

func (m *machine) Start(context.Context) error { return nil }
func (m *machine) Stop(context.Context) error  { return nil }

func (m *machine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	time.Sleep(m.slow)
	m.list = append(m.list, string(data))
	return len(m.list)
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.list)
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	return json.Unmarshal(b, &m.list)
}

func (m *machine) applied() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.list, ",")
}

func (m *machine) propose(timeout time.Duration, text string) error {
	done := make(chan error, 1)
	m.log.Propose([]byte(text), timeout, func(_ any, err error) { done <- err })
	return <-done
}

func (m *machine) barrier(timeout time.Duration) error {
	done := make(chan error, 1)
	m.log.Barrier(timeout, func(err error) { done <- err })
	return <-done
}

// group runs several instances in this process.
type group struct {
	t     testing.TB
	names []string
	addr  map[string]string
	dir   map[string]string
	key   string
	extra string // further quorum settings
	mach  map[string]*machine
	stop  map[string]func()
}

var testPlugins = []string{"peer", "journal", "quorum", "testmachine"}

const voterNames = `["a", "b", "c"]`

func newGroup(t testing.TB, names ...string) *group {
	g := &group{t: t, names: names, addr: map[string]string{}, dir: map[string]string{}, key: kerneltest.KeyFile(t),
		mach: map[string]*machine{}, stop: map[string]func(){}}
	root := t.TempDir()
	for _, n := range names {
		g.addr[n] = kerneltest.FreeAddress(t)
		if strings.Contains(voterNames, `"`+n+`"`) {
			g.dir[n] = filepath.Join(root, n)
			if err := os.Mkdir(g.dir[n], 0o750); err != nil {
				t.Fatal(err)
			}
		}
	}
	return g
}

func (g *group) start(name string, bootstrap bool) *machine {
	g.t.Helper()
	k, stop := kerneltest.Start(g.t, testPlugins, g.settings(name), bootstrap)
	m := k.Service("testmachine").(*machine)
	m.kernel = k
	g.mach[name], g.stop[name] = m, stop
	kerneltest.Wait(g.t, 5*time.Second, "start of "+name, func() bool { return m.log.Status().Member != "" })
	return m
}

// ends starts an instance that shall end by itself and returns its error.
func (g *group) ends(name string, bootstrap bool) error {
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
	var list []string
	for _, n := range g.names {
		list = append(list, fmt.Sprintf(`{"name": %q, "address": %q}`, n, g.addr[n]))
	}
	return fmt.Sprintf(`{"instance": {"name": %q, "fleet_key_file": %q, "data_folder": %q},
		"peer": {"listen": %q, "instances": [%s]},
		"journal": {"segment_bytes": 65536},
		"quorum": {"voters": %s %s}}`, name, g.key, g.dir[name], g.addr[name], strings.Join(list, ","), voterNames, g.extra)
}

func (g *group) leader() string {
	for _, n := range g.names {
		if m := g.mach[n]; m != nil && m.log.Status().Role == "leader" {
			return n
		}
	}
	return ""
}

func (g *group) waitLeader() string {
	g.t.Helper()
	name := ""
	kerneltest.Wait(g.t, 10*time.Second, "a leader", func() bool { name = g.leader(); return name != "" })
	return name
}

func (g *group) waitApplied(want string, names ...string) {
	g.t.Helper()
	for _, n := range names {
		kerneltest.Wait(g.t, 10*time.Second, n+" applies "+want, func() bool { return g.mach[n].applied() == want })
	}
}

func startVoters(t testing.TB, extra string, names ...string) *group {
	g := newGroup(t, names...)
	g.extra = extra
	for _, n := range []string{"a", "b", "c"} {
		g.start(n, true)
	}
	g.waitLeader()
	return g
}

// Guards against entries that are lost, reordered or applied by some instances
// only, on the way from any instance through the leader, and over a restart of
// the whole group.
func TestProposalsReachAllInstances(t *testing.T) {
	t.Parallel()
	g := startVoters(t, "", "a", "b", "c", "d")
	g.start("d", false)
	g.mach["b"].slow = 20 * time.Millisecond // its barriers have something to wait for
	want := ""
	for i, n := range []string{"a", "b", "c", "d", "a"} {
		text := fmt.Sprint(i)
		if err := g.mach[n].propose(5*time.Second, text); err != nil {
			t.Fatalf("proposal at %s: %v", n, err)
		}
		want = strings.TrimPrefix(want+","+text, ",")
		if err := g.mach["b"].barrier(5 * time.Second); err != nil {
			t.Fatalf("barrier: %v", err)
		}
		if got := g.mach["b"].applied(); got != want {
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
	if err := g.mach["c"].propose(5*time.Second, "last"); err != nil {
		t.Fatal(err)
	}
	g.waitApplied(want+",last", "a", "b", "c")
}

// Guards against a change that is reported as not executed by an instance
// without a majority and takes effect later.
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
