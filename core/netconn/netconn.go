// Package netconn limits how long the operating system keeps a connection whose peer does not
// respond.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Keepalive probes of an idle connection. The first probe is sent after a third of the silence
// timeout and the others at intervals of a sixth of it, so that one lost probe does not end the
// connection. After probeCount probes without an answer, the connection fails.
const (
	idleDivisor     = 3
	intervalDivisor = 6
	probeCount      = 4
)

// Unwrap returns the connection below those that limit or observe it.
func Unwrap(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}

// SetSilenceTimeout makes reads and writes on c fail once the peer's operating system has not
// acknowledged anything for about timeout. Without a silence timeout, a connection hangs for minutes
// during a network partition. SetSilenceTimeout has no effect on connections other than TCP.
func SetSilenceTimeout(c net.Conn, timeout time.Duration) error {
	t, ok := Unwrap(c).(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "silence timeout")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = setSocketOptions(int(fd), timeout) })
	return errors.Wrap(errors.CombineErrors(err, setErr), "silence timeout")
}

func setSocketOptions(fd int, timeout time.Duration) error {
	seconds := func(d time.Duration) int { return max(int((d+time.Second-1)/time.Second), 1) }
	for _, o := range []struct{ level, name, value int }{
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds(timeout / idleDivisor)},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds(timeout / intervalDivisor)},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		{syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())},
	} {
		if err := syscall.SetsockoptInt(fd, o.level, o.name, o.value); err != nil {
			return err
		}
	}
	return nil
}
