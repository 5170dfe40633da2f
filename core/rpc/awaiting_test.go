package rpc

import (
	"testing"
	"time"
)

// Guards against a node that takes its peer for silent while it is itself busy with a message: the answer to
// a ping waits unread.
func TestConnectionDoesNotAwaitBytesWhileItHandlesAMessage(t *testing.T) {
	a, b := newTCPPair(t)
	key := NewKey([]byte("0123456789abcdef"))
	handling, release := make(chan struct{}), make(chan struct{})
	opened := make(chan *Conn, 1)
	go func() {
		first := true
		c, err := Open(b, key, "b", false, MaxHandshakeTime, func(*Conn, *Request) {
			if first {
				close(handling)
			}
			first = false
			<-release
		})
		if err != nil {
			t.Error(err)
		}
		opened <- c
	}()
	client, err := Open(a, key, "a", true, MaxHandshakeTime, func(*Conn, *Request) {})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server := <-opened
	awaiting := func(want bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); server.Traffic.Awaiting.Load() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("connection awaits bytes: %v, want %v", !want, want)
			}
		}
	}
	awaiting(true)
	if err := client.Notify("m", 1); err != nil {
		t.Fatal(err)
	}
	<-handling
	if err := client.Notify("m", 2); err != nil { // arrives while the first message is handled
		t.Fatal(err)
	}
	awaiting(false)
	close(release)
	awaiting(true)
}
