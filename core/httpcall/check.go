package httpcall

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

var errStale = errors.New("idle connection was closed or holds unexpected bytes")

// checkIdle reports, without blocking, whether an idle connection can be used: it
// is neither closed by the other side nor holds bytes that no request asked for.
func checkIdle(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var one [1]byte
	result := error(nil)
	// Control, unlike Read, does not look at the deadline of the last exchange.
	err = raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Zero bytes without an error are the end of the stream.
		if !errors.Is(e, syscall.EAGAIN) {
			result = errStale
		}
	})
	if err != nil {
		return err
	}
	return result
}
