// Package httpserve serves HTTP/1.0 and HTTP/1.1 like a server of net/http, but starts pipelined
// requests before the earlier ones on their connection have been answered. It parses requests with
// http.ReadRequest, calls an http.Handler and sends the responses in the order of the requests. It
// decides nothing about calls.
//
// Once a response closes the connection, requests that were sent behind its request are not passed
// to the handler. RFC 9112, section 9.3.2, lets clients send them again.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/netconn"
)

const (
	// defaultMaxPipelined is the default of Server.MaxPipelined.
	defaultMaxPipelined = 16
	// maxHeldBytes is the size in bytes of a response that may be held while earlier responses of the
	// connection are not complete. A handler that writes more waits for them.
	maxHeldBytes = 256 << 10
	// maxSpooledBytes is the size in bytes of a response that may be held while a later request of the connection is in
	// progress, and maxSpooledTotal that of all such responses of a server.
	maxSpooledBytes = 4 << 20
	maxSpooledTotal = 32 << 20
	// headSlackBytes is the number of bytes that the head of a request may exceed MaxHeaderBytes by,
	// as in net/http.
	headSlackBytes = 4 << 10
	// maxUnreadBody is the number of bytes of a body that are read and discarded after its request was
	// answered, so that the connection can be used again.
	maxUnreadBody = 256 << 10
	// lingerTime is how long received bytes are discarded after the last response. Closing a
	// connection with unread bytes resets it, and the client could lose the response.
	lingerTime = 500 * time.Millisecond
)

// Server serves requests. Its fields must not be changed after Serve.
type Server struct {
	// Handler answers the requests. It may abort a connection by a panic with http.ErrAbortHandler.
	Handler http.Handler
	// ReadHeaderTimeout bounds the time to read the head of a request from its first byte on.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed; 0 means
	// ReadHeaderTimeout.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MaxPipelined is the number of unanswered requests of a connection at which no further one is
	// read; 0 means defaultMaxPipelined.
	MaxPipelined int
	// MayOverlap reports whether a request may be started while earlier ones of its connection are
	// unanswered. Requests with a body never are.
	MayOverlap func(r *http.Request) bool
	// IsClosing reports whether connections are to be closed with the next response; may be nil.
	IsClosing func() bool
	// OpenAccount opens the account of a connection; nil for connections without one. An error closes the connection. shed is
	// called, with the phase that the connection was in, when it is to be closed for lack of memory; it does not block.
	OpenAccount func(shed func(account.Phase)) (account.Connection, error)
	// Limits are the limits of heads and trailers; zero for the default ones. Their number of bytes is that of MaxHeaderBytes.
	Limits httphead.RequestLimits
	// KeptBodyBytes is the length of the part of a body that the handler reads before the request may run, and keeps.
	KeptBodyBytes int64
	// OnRefusal is called when a request is refused for a limit. It returns the header of the response; may be nil.
	OnRefusal func(e *account.LimitError) http.Header
	// OnPanic is called when the handler panics with anything but http.ErrAbortHandler; may be nil.
	OnPanic func(v any, stack []byte)

	// spooled is the size in bytes of the responses that are held for later requests of their connections.
	spooled atomic.Int64

	// mu guards the fields below. It is a leaf lock below all lock ranks.
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopping bool
	// idle is closed once the server is stopping and no connection is left.
	idle chan struct{}
}

// Serve accepts connections until Shutdown is called, and then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.listener = l
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.isStopping() {
				return http.ErrServerClosed
			}
			if isTemporary(err) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Wrap(err, "accept")
		}
		c, err := newConn(s, nc)
		if err != nil {
			netconn.ResetOnClose(nc)
			_ = nc.Close()
			continue
		}
		if !s.add(c) {
			c.account.Close()
			_ = nc.Close()
			return http.ErrServerClosed
		}
		go c.serve()
	}
}

// acceptRetryDelay is the pause after an accept failed for lack of file descriptors or the like.
const acceptRetryDelay = 10 * time.Millisecond

// isTemporary reports whether an error of accept does not concern the listener itself.
func isTemporary(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR)
}

// Shutdown closes the listener and the idle connections, lets the requests in progress be answered,
// and waits until all connections are closed or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	l := s.listener
	if s.idle == nil {
		s.idle = make(chan struct{})
		if len(s.conns) == 0 {
			close(s.idle)
		}
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	idle := s.idle
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	for _, c := range conns {
		c.stopReading()
	}
	select {
	case <-idle:
		return err
	case <-ctx.Done():
		return errors.CombineErrors(err, ctx.Err())
	}
}

// CancelRequests cancels the contexts of all requests in progress. The connections stay open, so that the handlers can
// still answer.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelRequests()
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// isClosing reports whether the next response of a connection is its last one.
func (s *Server) isClosing() bool { return s.isStopping() || s.IsClosing != nil && s.IsClosing() }

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.stopping && len(s.conns) == 0 && s.idle != nil {
		close(s.idle)
	}
}

func (s *Server) idleTimeout() time.Duration {
	if s.IdleTimeout > 0 {
		return s.IdleTimeout
	}
	return s.ReadHeaderTimeout
}

// limits returns the limits of heads.
func (s *Server) limits() httphead.RequestLimits {
	l := s.Limits
	if l == (httphead.RequestLimits{}) {
		l = httphead.DefaultRequestLimits()
	}
	l.Bytes = s.MaxHeaderBytes + headSlackBytes
	return l
}

func (s *Server) maxPipelined() int {
	if s.MaxPipelined > 0 {
		return s.MaxPipelined
	}
	return defaultMaxPipelined
}
