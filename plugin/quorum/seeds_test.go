package quorum_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// newOpenFleet returns a group of instances whose names are their addresses, on one port. The first
// three are the seeds, which are all that an instance knows of the others.
func newOpenFleet(t testing.TB, instances, toleratedLosses int) *group {
	t.Helper()
	port := freePort(t, instances)
	g := &group{t: t, addresses: map[string]string{}, dirs: map[string]string{}, keyFile: kerneltest.WriteFleetKeyFile(t),
		machines: map[string]*testMachine{}, stop: map[string]func(){}}
	for i := range instances {
		g.names = append(g.names, fmt.Sprintf("127.0.77.%d", i+1))
		g.dirs[g.names[i]] = t.TempDir()
	}
	seeds := make([]string, 3)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", net.JoinHostPort(g.names[i], port))
	}
	g.settingsOf = func(name string) string {
		return fmt.Sprintf(`{"instance": {"name": %q, "fleet_key_file": %q, "data_folder": %q},
			"peer": {"listen": %q, "seeds": [%s], "seed_port": %s, "max_backoff": "200ms"},
			"quorum": {"open_voters": 3, "tolerated_losses": %d, "election_timeout": "600ms"}}`,
			name, g.keyFile, g.dirs[name], net.JoinHostPort(name, port), strings.Join(seeds, ","), port, toleratedLosses)
	}
	return g
}

// freePort returns a port that is free on the addresses of all instances.
func freePort(t testing.TB, instances int) string {
	t.Helper()
	for range 20 {
		_, port, err := net.SplitHostPort(kerneltest.FreeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		free := true
		for i := range instances {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.0.77.%d", i+1), port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no port is free on all addresses")
	return ""
}

// Guards against instances that know only the seeds: they could neither follow a leader that is no
// seed nor be reached by it, so a group whose leader was promoted later decided nothing for most of
// its instances, and nothing at all without its seeds.
func TestOpenGroupDecidesWithoutItsSeeds(t *testing.T) {
	t.Parallel()
	g := newOpenFleet(t, 7, 3)
	for i, name := range g.names {
		g.start(name, i < 3)
	}
	kerneltest.WaitUntil(t, 20*time.Second, "seven voters", func() bool { return len(g.machines[g.names[6]].log.Status().Voters) == 7 })
	g.propose(g.names[3], "1")
	for _, name := range g.names[:3] {
		g.stop[name]()
		delete(g.machines, name)
	}
	g.propose(g.names[3], "2")
	g.propose(g.names[6], "3")
	g.waitApplied("1,2,3", g.names[3:]...)
	if err := g.machines[g.names[5]].barrier(5 * time.Second); err != nil {
		t.Fatalf("read at an instance that is no seed: %v", err)
	}
}
