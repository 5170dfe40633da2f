package httpcall

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

var errStaleConn = errors.New("idle connection was closed or holds unexpected bytes")

// idleCheck checks an idle connection without blocking. It is created once for each
// connection: creating one for each check would take five allocations per call.
type idleCheck struct {
	raw syscall.RawConn
	// peek looks for received bytes without reading them, and sets usable.
	peek func(fd uintptr)
	// usable is the result of the last peek: nothing was received, and the connection is open.
	usable bool
}

// newIdleCheck returns nil, which accepts every connection, if c is not a socket.
func newIdleCheck(c net.Conn) *idleCheck {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	k := &idleCheck{raw: raw}
	buf := make([]byte, 1)
	k.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Zero bytes without an error mean the end of the stream.
		k.usable = err == syscall.EAGAIN
	}
	return k
}

// check returns an error if an idle connection cannot be reused: the other side has closed
// it or has sent bytes that no request asked for.
func (k *idleCheck) check() error {
	if k == nil {
		return nil
	}
	// Control, unlike Read, is not affected by the deadline of the last exchange.
	if err := k.raw.Control(k.peek); err != nil {
		return err
	}
	if !k.usable {
		return errStaleConn
	}
	return nil
}
