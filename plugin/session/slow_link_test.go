package session

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// startSlowLink starts a proxy that sends what target sends at about bytesPerSecond, and returns its
// address.
func startSlowLink(t *testing.T, target string, bytesPerSecond int) string {
	const chunksPerSecond = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	forward := func(client net.Conn) {
		defer client.Close()
		server, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			_, _ = io.Copy(server, client)
			_ = server.Close()
		}()
		for err == nil {
			_, err = io.CopyN(client, server, int64(bytesPerSecond/chunksPerSecond))
			time.Sleep(time.Second / chunksPerSecond)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forward(c)
		}
	}()
	return l.Addr().String()
}

// newLargeUpdate returns an update with a full configuration of the given number of routes, whose paths
// are random, so that compression saves little.
func newLargeUpdate(routes int) *peerapi.Update {
	rng := rand.New(rand.NewPCG(1, 2))
	d := &resource.Delta{To: 1, Upserts: []resource.Resource{{Changed: 1, Cluster: &resource.Cluster{Name: "c", Organisation: "o", Team: "t", Service: "s", RetryBudgetPercent: 20}}}}
	for i := range routes {
		path := fmt.Sprintf("/%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
		d.Upserts = append(d.Upserts, resource.Resource{Changed: 1, Route: &resource.Route{
			Name: fmt.Sprintf("r%d", i), Organisation: "o", Team: "t", Cluster: "c", Match: resource.Match{Host: "h.example", PathPrefix: path}, TimeoutMillis: 1000, MaxAttempts: 1,
		}})
	}
	return &peerapi.Update{ID: 1, Delta: d, Sets: []resource.EndpointSet{{Service: "s", Endpoints: []resource.Endpoint{}}}}
}

// Guards against a node on a slow link that never receives a large update: the answer to a ping waits
// behind it, so the node takes the instance for dead, connects again and is sent the update again.
func TestLargeUpdateOutlastsPingTimeout(t *testing.T) {
	key, address := kerneltest.WriteFleetKeyFile(t), kerneltest.FreeAddress(t)
	link := startSlowLink(t, address, 16<<10)
	control := func(at string) string {
		return fmt.Sprintf(`"instances": [{"name": "control-0", "address": %q, "availability_zone": "z"}]`, at)
	}
	k, _ := kerneltest.Start(t, []string{"peer", "instance"}, fmt.Sprintf(
		`{"instance": {"name": "control-0", "availability_zone": "z", "fleet_key_file": %q}, "peer": {"listen": %q, %s}}`, key, address, control(address)), false)
	// Encoded before, as a control instance does not encode in the job that answers pings.
	update, err := rpc.NewMessage(peerapi.NodeUpdate, newLargeUpdate(800))
	if err != nil {
		t.Fatal(err)
	}
	k.Plugin("instance").(*fakeInstance).onHello = func(c *rpc.Conn) {
		if err := c.Send(update); err != nil {
			t.Error(err)
		}
	}
	n, _ := kerneltest.Start(t, []string{"peer", "view", "session"}, fmt.Sprintf(
		`{"instance": {"name": "n1", "availability_zone": "z", "fleet_key_file": %q}, "peer": {%s}, "session": {"ping_interval": "100ms", "ping_timeout": "500ms"}}`, key, control(link)), false)
	v := n.Plugin("view").(api.View)
	kerneltest.WaitUntil(t, 20*time.Second, "large update in force", func() bool { return v.Current() != nil })
	if s := n.Plugin("session").(*Session); s.attachments.Get() != 1 {
		t.Errorf("the node has attached %d times while it received one update", s.attachments.Get())
	}
}
