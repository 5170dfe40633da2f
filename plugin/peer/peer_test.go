package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	_ "github.com/celeryyard/celeryyard/plugin/peer" // registers itself
)

// Guards against a process without the fleet's key that gets a connection, and
// against requests that are not answered.
func TestOnlyHoldersOfTheKeyConnect(t *testing.T) {
	addr := kerneltest.FreeAddress(t)
	text := fmt.Sprintf(`{"instance": {"name": "a", "fleet_key_file": %q}, "peer": {"listen": %q}}`, kerneltest.KeyFile(t), addr)
	kerneltest.Start(t, []string{"peer"}, text, false)
	for _, tc := range []struct {
		key string
		ok  bool
	}{{kerneltest.Key, true}, {"another-fleet-key-9876543210", false}} {
		nc := dial(t, addr)
		c, err := rpc.Open(nc, rpc.NewKey([]byte(tc.key)), "b", true, func(*rpc.Conn, *rpc.Request) {})
		if (err == nil) != tc.ok {
			t.Fatalf("key %q: error %v, want success %v", tc.key, err, tc.ok)
		}
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := c.Call(ctx, "no.such.method", struct{}{}, nil); rpc.Code(err) != rpc.CodeUnknown {
			t.Fatalf("unknown method: %v", err)
		}
		c.Close()
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	var nc net.Conn
	kerneltest.Wait(t, 5*time.Second, "listener", func() bool {
		var err error
		nc, err = net.Dial("tcp", addr)
		return err == nil
	})
	return nc
}
