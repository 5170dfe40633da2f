package session

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/peer"
	_ "github.com/celeryyard/celeryyard/plugin/view" // registers itself
)

// fakeInstance answers nodes as a control instance that has nothing to send.
type fakeInstance struct{}

func (fakeInstance) Start(context.Context) error { return nil }
func (fakeInstance) Stop(context.Context) error  { return nil }

func init() {
	kernel.Register(kernel.Registration{
		Name: "instance", Needs: []string{"peer"},
		New: func(c *kernel.Context) (kernel.Plugin, error) {
			p := kernel.MustFind[*peer.Peer](c, "peer")
			p.Handle(peerapi.NodeHello, func(_ *rpc.Conn, r *rpc.Request) {
				r.Reply(&peerapi.HelloReply{Instance: c.Instance.Name})
			})
			p.Handle(peerapi.NodePing, func(_ *rpc.Conn, r *rpc.Request) { r.Reply(&peerapi.Pong{}) })
			return fakeInstance{}, nil
		},
	})
}

// startAttachedSession starts a control instance and a node that is attached to it. It returns the
// node's session and a function that opens further connections to the instance.
func startAttachedSession(t *testing.T) (s *Session, dial func() (*peer.Link, *rpc.Conn)) {
	key, address := kerneltest.WriteFleetKeyFile(t), kerneltest.FreeAddress(t)
	list := fmt.Sprintf(`[{"name": "control-0", "address": %q, "availability_zone": "z"}]`, address)
	kerneltest.Start(t, []string{"peer", "instance"}, fmt.Sprintf(
		`{"instance": {"name": "control-0", "availability_zone": "z", "fleet_key_file": %q}, "peer": {"listen": %q, "instances": %s}}`, key, address, list), false)
	k, _ := kerneltest.Start(t, []string{"peer", "view", "session"}, fmt.Sprintf(
		`{"instance": {"name": "n1", "availability_zone": "z", "fleet_key_file": %q}, "peer": {"instances": %s}, "session": {"ping_interval": "50ms"}}`, key, list), false)
	s = k.Plugin("session").(*Session)
	kerneltest.WaitUntil(t, 5*time.Second, "session", s.Attached)
	p := k.Plugin("peer").(*peer.Peer)
	return s, func() (*peer.Link, *rpc.Conn) {
		up := make(chan *rpc.Conn, 1)
		l := p.ConnectAny(func(int) string { return address }, func(c *rpc.Conn) {
			select {
			case up <- c:
			default:
			}
		})
		return l, <-up
	}
}

// Guards against a node that has no session for seconds although its connection works. This
// happens if a link that a move has replaced reconnects and takes the place of the newer one.
func TestReplacedLinkDoesNotTakeTheSession(t *testing.T) {
	s, dial := startAttachedSession(t)
	candidate, moved := dial()
	_, late := dial() // simulates a reconnection of the first link
	m := &moveAttempt{s: s, targets: []instance{{name: "control-0"}}, link: candidate}
	s.mu.Lock()
	s.candidate = candidate
	s.mu.Unlock()
	m.switchSession(moved)
	s.onConnect(nil, late)
	late.Close()
	<-late.Done()
	kerneltest.WaitUntil(t, 5*time.Second, "session after the move", s.Attached)
	time.Sleep(200 * time.Millisecond) // the close of the late connection is handled in a job
	if !s.Attached() {
		t.Error("the node has no session although its link is connected")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != moved {
		t.Error("the session does not use the link that it has moved to")
	}
}
