package netconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// closeCheckInterval is the interval at which AwaitClose asks the operating system. Two nodes and an upstream
// notice within half a second that the caller has left.
const closeCheckInterval = 100 * time.Millisecond

// IsClosedByPeer reports whether the peer has closed or reset the connection, also if bytes that it sent before
// are still unread. It returns false for connections other than TCP, and if the operating system does
// not tell.
func IsClosedByPeer(c net.Conn) bool {
	t, ok := Unwrap(c).(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// AwaitClose waits until the peer has closed or reset the connection, and returns true, or until one of two
// channels is closed, and returns false. It is for a time in which nobody reads from the connection: a
// read would notice it by itself.
func AwaitClose(c net.Conn, done, alsoDone <-chan struct{}) bool {
	t := time.NewTicker(closeCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return false
		case <-alsoDone:
			return false
		case <-t.C:
			if IsClosedByPeer(c) {
				return true
			}
		}
	}
}

// ResetOnClose makes Close reset the connection. The peer is told at once, although unsent bytes wait
// for it to read; a proper close is queued behind them.
func ResetOnClose(c net.Conn) {
	if t, ok := Unwrap(c).(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}
