package httpcall

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

var errStale = errors.New("idle connection was closed or holds unexpected bytes")

// idleCheck looks at a connection without blocking. It is made once for each
// connection, which saves five allocations a call.
type idleCheck struct {
	raw    syscall.RawConn
	peek   func(fd uintptr)
	usable bool
}

// newIdleCheck returns nil for connections that are no sockets.
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
	one := make([]byte, 1)
	k.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Zero bytes without an error are the end of the stream.
		k.usable = err == syscall.EAGAIN
	}
	return k
}

// check reports whether an idle connection can be used: it is neither closed by
// the other side nor holds bytes that no request asked for.
func (k *idleCheck) check() error {
	if k == nil {
		return nil
	}
	// Control, unlike Read, does not look at the deadline of the last exchange.
	if err := k.raw.Control(k.peek); err != nil {
		return err
	}
	if !k.usable {
		return errStale
	}
	return nil
}
