package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// syncBuffer is a buffer for log output that may be read while the log is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against a process that cannot reach a control instance and logs nothing at the default
// level.
func TestFailingConnectionIsLoggedOnce(t *testing.T) {
	text := fmt.Sprintf(`{"instance": {"name": "a", "fleet_key_file": %q}, "peer": {"min_backoff": "1ms", "max_backoff": "2ms"}}`, kerneltest.WriteFleetKeyFile(t))
	file, err := settings.Parse("test.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log := &syncBuffer{}
	k, err := kernel.New(kernel.Options{Plugins: []string{"peer"}, Settings: file, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	kerneltest.WaitUntil(t, 5*time.Second, "start", func() bool { return strings.Contains(log.String(), "process started") })
	address := kerneltest.FreeAddress(t)
	k.Plugin("peer").(*peer.Peer).Connect(address, func(*rpc.Conn) {})
	kerneltest.WaitUntil(t, 5*time.Second, "warning", func() bool { return strings.Contains(log.String(), `"event":205`) })
	time.Sleep(50 * time.Millisecond) // allows further attempts
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := log.String(); strings.Count(got, `"event":205`) != 1 || !strings.Contains(got, address) {
		t.Fatalf("log:\n%s", got)
	}
}

// Guards against a process that connects without the fleet key, and against requests of unknown
// methods that are not answered.
func TestConnectionRequiresFleetKey(t *testing.T) {
	addr := kerneltest.FreeAddress(t)
	text := fmt.Sprintf(`{"instance": {"name": "a", "fleet_key_file": %q}, "peer": {"listen": %q}}`, kerneltest.WriteFleetKeyFile(t), addr)
	kerneltest.Start(t, []string{"peer"}, text, false)
	for _, tc := range []struct {
		key string
		ok  bool
	}{{kerneltest.FleetKey, true}, {"another-fleet-key-9876543210", false}} {
		nc := dial(t, addr)
		c, err := rpc.Open(nc, rpc.NewKey([]byte(tc.key)), "b", true, rpc.MaxHandshakeTime, func(*rpc.Conn, *rpc.Request) {})
		if (err == nil) != tc.ok {
			t.Fatalf("key %q: error %v, want success %v", tc.key, err, tc.ok)
		}
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := c.Call(ctx, "no.such.method", struct{}{}, nil); rpc.ErrorCode(err) != rpc.CodeUnknownMethod {
			t.Fatalf("unknown method: %v", err)
		}
		c.Close()
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	var nc net.Conn
	kerneltest.WaitUntil(t, 5*time.Second, "listener", func() bool {
		var err error
		nc, err = net.Dial("tcp", addr)
		return err == nil
	})
	return nc
}
