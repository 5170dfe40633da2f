package session

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// attachedTo returns the name of the control instance of the session; empty if there is none.
func attachedTo(s *Session) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attached {
		return ""
	}
	return s.conn.Peer
}

// Guards against a node that stays with a control instance that is cut off, because its first attempt
// to leave found the other instances without a leader as well: it serves an old configuration until
// home_retry ends.
func TestNodeLeavesIsolatedInstanceOnceAnotherHasRecovered(t *testing.T) {
	s, instances := startFleet(t, []string{"z", "y", "x"}, 0, `{"ping_interval": "50ms", "home_retry": "10m"}`)
	if at := attachedTo(s); at != "control-0" {
		t.Fatalf("node is attached to %q, not to the instance of its zone", at)
	}
	for _, i := range instances {
		i.isolated.Store(true)
	}
	time.Sleep(time.Second) // an election: several pings and attempts to leave
	instances[2].isolated.Store(false)
	recovered := time.Now()
	const bound = time.Second // 50 ms to the next ping, a pause of 37 ms at most, a handshake with each instance
	for attachedTo(s) != "control-2" {
		if time.Since(recovered) > bound {
			t.Fatalf("node is attached to %q %v after another instance has reached the quorum again", attachedTo(s), bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// maxReattachTime is how soon a node must have a session again after its control instance is lost: a
// change is in force everywhere within 3 s.
const maxReattachTime = 3 * time.Second

// Guards against a node that is without a session for seconds, because it tries one instance after the
// other that was replaced long ago before it tries one that runs.
func TestReplacedInstancesDoNotDelayReattaching(t *testing.T) {
	s, instances := startFleet(t, []string{"y", "y"}, 4, `{"ping_interval": "50ms"}`)
	lost := 0
	if attachedTo(s) == "control-1" {
		lost = 1
	}
	instances[lost].stop()
	lostAt := time.Now()
	for at := attachedTo(s); at == "" || at == fmt.Sprintf("control-%d", lost); at = attachedTo(s) {
		if time.Since(lostAt) > maxReattachTime {
			t.Fatalf("node has no session %v after its instance has stopped", maxReattachTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a node that returns to the same two instances, which accept connections and refuse
// sessions, and never tries the third.
func TestEveryInstanceIsTriedAfterRefusals(t *testing.T) {
	s, instances := startFleet(t, []string{"z", "y", "y"}, 0, `{"ping_interval": "50ms"}`)
	if at := attachedTo(s); at != "control-0" {
		t.Fatalf("node is attached to %q, not to the instance of its zone", at)
	}
	s.mu.Lock()
	order := slices.Clone(s.instances) // the order in which they are tried
	s.mu.Unlock()
	for _, i := range order[:2] {
		instances[i.name[len(i.name)-1]-'0'].refuses.Store(true)
	}
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	c.Close()
	lostAt := time.Now()
	for attachedTo(s) != order[2].name {
		if time.Since(lostAt) > maxReattachTime {
			t.Fatalf("node has no session %v after two of three instances began to refuse it", maxReattachTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a node that waits for longer than a change may take before it asks for a session again.
func TestPauseAfterRefusalsIsShort(t *testing.T) {
	s, _ := startFleet(t, []string{"z"}, 0, `{}`)
	s.mu.Lock()
	s.consecutiveRefusals = 30
	s.mu.Unlock()
	started := time.Now()
	s.nextAddress(0)
	const connectTime = time.Second // handshake, hello and update
	if d := time.Since(started); d > maxReattachTime-connectTime {
		t.Errorf("pause after refusals lasts %v", d)
	}
}

// Guards against a node that starts while the instance of its zone is paused: the operating system
// accepts the connection, and the node waits for the handshake instead of trying another instance.
func TestPausedInstanceDoesNotDelayTheFirstSession(t *testing.T) {
	started := time.Now()
	startFleet(t, []string{"y"}, 1, `{"ping_interval": "50ms"}`)
	if d := time.Since(started); d > maxReattachTime {
		t.Errorf("node has its first session after %v, more than %v", d, maxReattachTime)
	}
}

// startAttachedSession starts a control instance and a node that is attached to it. It returns the
// node's session and a function that opens further connections to the instance.
func startAttachedSession(t *testing.T) (s *Session, dial func() (*peer.Link, *rpc.Conn)) {
	s, _ = startFleet(t, []string{"z"}, 0, `{"ping_interval": "50ms"}`)
	address := s.peer.Instances()[0].Address
	return s, func() (*peer.Link, *rpc.Conn) {
		up := make(chan *rpc.Conn, 1)
		l := s.peer.ConnectAny(func(int) string { return address }, func(c *rpc.Conn) {
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
