// Package netconn sets how long the kernel tolerates a silent connection.
package netconn

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Probes of an idle connection: the first one after a third of the silence
// timeout, then one each sixth, so that a lost probe does not end a connection.
const (
	idleParts     = 3
	intervalParts = 6
	probes        = 4
)

// Guard makes reads and writes on c fail once the other side's kernel has not
// acknowledged anything for about timeout. Without it a connection through a
// partition hangs for minutes. It does nothing for connections that are not TCP.
func Guard(c net.Conn, timeout time.Duration) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "silence timeout")
	}
	var set error
	err = raw.Control(func(fd uintptr) { set = guard(int(fd), timeout) })
	return errors.Wrap(errors.CombineErrors(err, set), "silence timeout")
}

func guard(fd int, timeout time.Duration) error {
	seconds := func(d time.Duration) int { return max(int((d+time.Second-1)/time.Second), 1) }
	for _, o := range []struct{ level, name, value int }{
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds(timeout / idleParts)},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds(timeout / intervalParts)},
		{syscall.IPPROTO_TCP, unix.TCP_KEEPCNT, probes},
		{syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())},
	} {
		if err := syscall.SetsockoptInt(fd, o.level, o.name, o.value); err != nil {
			return err
		}
	}
	return nil
}
