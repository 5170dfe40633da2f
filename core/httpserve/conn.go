package httpserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/core/netconn"
)

// conn is one connection. One goroutine reads requests; each request has a goroutine of its own that
// runs the handler.
type conn struct {
	s   *Server
	nc  net.Conn
	lim *io.LimitedReader
	br  *bufio.Reader
	// heads passes on heads that are complete and accounted for.
	heads   *httphead.RequestReader
	account account.Connection
	// ctx is cancelled when the client has closed the connection or the connection failed.
	ctx    context.Context
	cancel context.CancelFunc
	// requestCtx is the parent of the contexts of the requests. Server.CancelRequests cancels it.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	// mu guards the fields below. It is a leaf lock below all lock ranks.
	mu sync.Mutex
	// unanswered is the number of requests whose responses are not complete, and exclusive the number
	// of those among them that must not overlap with others.
	unanswered, exclusive int
	// changed is signalled when unanswered falls or the connection ends.
	changed *sync.Cond
	// reading is set while the goroutine that reads requests waits for the first byte of one, and
	// watching while it waits for the client to leave because no further request is read.
	reading, watching bool
	// noMore is set once no further request will be passed to the handler.
	noMore bool
	// closed is set once the connection must not be used any more.
	closed bool
	// receiving is the body whose kept part is being received; nil if there is none.
	receiving *requestBody
}

// noLimit is the number of bytes that may be read outside of the heads of requests.
const noLimit = 1 << 62

func newConn(s *Server, nc net.Conn) (*conn, error) {
	c := &conn{s: s, nc: nc, account: account.Unlimited{}}
	if s.OpenAccount != nil {
		a, err := s.OpenAccount(c.shed)
		if err != nil {
			return nil, err
		}
		c.account = a
	}
	c.heads = httphead.NewRequestReader(nc, c.account, s.limits())
	c.lim = &io.LimitedReader{R: c.heads, N: noLimit}
	c.br = bufio.NewReader(c.lim)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.requestCtx, c.cancelRequests = context.WithCancel(c.ctx)
	c.changed = sync.NewCond(&c.mu)
	return c, nil
}

// shed ends the connection for lack of memory. A request whose body is being received is answered, as one with a late body; it
// does not run.
func (c *conn) shed(p account.Phase) {
	if p == account.PhaseBody {
		c.mu.Lock()
		b := c.receiving
		c.mu.Unlock()
		if b != nil {
			b.shed()
			return
		}
	}
	netconn.ResetOnClose(c.nc)
	_ = c.nc.Close()
}

// serve reads requests until the connection ends, and then waits for their responses.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.account.Close()
	defer c.cancel()
	previous := closedTurn
	var refusal *account.LimitError
	for {
		var r *response
		if r, refusal = c.next(previous); r == nil {
			break
		}
		previous = r.done
		go r.run()
		if !c.awaitBody(r) {
			break
		}
	}
	if refusal != nil && refusal.Limit != "" {
		// Nothing is read behind a head that exceeds a limit.
		if netconn.AwaitClose(c.nc, previous, nil) {
			c.cancel()
		}
	} else {
		c.watch()
	}
	c.mu.Lock()
	for c.unanswered > 0 {
		c.changed.Wait()
	}
	abort := c.closed
	c.mu.Unlock()
	if refusal != nil && !abort {
		c.refuse(refusal)
	}
	c.finish(abort)
}

// watch waits until the last responses are complete, and cancels their requests when the client closes
// the connection before. It cannot notice that behind bytes that are not read any more.
func (c *conn) watch() {
	for {
		c.mu.Lock()
		c.noMore = true
		c.watching = c.unanswered > 0 && !c.closed
		if !c.watching {
			c.mu.Unlock()
			return
		}
		_ = c.nc.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		_, err := c.br.Peek(c.br.Buffered() + 1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // a response is complete
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			c.cancel()
		}
		return
	}
}

// finish closes the connection. Unless it is aborted, received bytes are discarded for lingerTime.
func (c *conn) finish(abort bool) {
	if tc, ok := c.nc.(*net.TCPConn); ok && !abort && tc.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}

// stopReading ends the wait for the first byte of a further request.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore = true
	if c.reading {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// next reads the next request and returns its response, or nil if the connection takes no further
// one. refusal is that of a request that is malformed or exceeds a limit; nil if nothing is to be sent.
func (c *conn) next(previous <-chan struct{}) (r *response, refusal *account.LimitError) {
	if !c.awaitFirstByte() {
		return nil, nil
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(c.s.ReadHeaderTimeout))
	c.lim.N = int64(c.s.MaxHeaderBytes) + headSlackBytes
	req, err := http.ReadRequest(c.br)
	exhausted := c.lim.N <= 0
	c.lim.N = noLimit
	if err != nil {
		if headErr := c.heads.HeadErr(); headErr != nil {
			err = headErr
		}
		if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
			c.cancel()
		}
		return nil, refusalOf(err, exhausted)
	}
	status := check(req)
	if c.br.Buffered() > 0 {
		status = http.StatusBadRequest // the parser found another end of the head than the RequestReader
	}
	if status != 0 {
		return nil, &account.LimitError{Status: status}
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	if req.ContentLength != 0 {
		c.heads.SetBody(req.ContentLength)
	}
	r = newResponse(c, req, previous)
	if !c.start(r) {
		return nil, nil
	}
	return r, nil
}

// awaitFirstByte waits until a request arrives. Without unanswered requests it waits for at most the
// idle timeout.
func (c *conn) awaitFirstByte() bool {
	c.mu.Lock()
	for c.unanswered >= c.s.maxPipelined() && !c.closed {
		c.changed.Wait()
	}
	if c.noMore || c.closed {
		c.mu.Unlock()
		return false
	}
	c.reading = true
	c.setIdleDeadline()
	c.mu.Unlock()
	_, err := c.br.Peek(1)
	c.mu.Lock()
	c.reading = false
	ended := c.noMore || c.closed
	c.mu.Unlock()
	if err != nil && !(ended && errors.Is(err, os.ErrDeadlineExceeded)) {
		c.cancel() // the client is gone or idle
	}
	return err == nil && !ended && c.receiveHead()
}

// receiveHead records that a head is received. A connection with unanswered requests is running.
func (c *conn) receiveHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0 || c.account.SetPhase(account.PhaseHead)
}

// setIdleDeadline sets the deadline for the first byte of the next request; mu is held.
func (c *conn) setIdleDeadline() {
	if !c.reading || c.noMore {
		return
	}
	if c.unanswered > 0 {
		_ = c.nc.SetReadDeadline(time.Time{})
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(c.s.idleTimeout()))
}

// start counts a request as unanswered. A request that may not overlap waits for the earlier ones, and
// later ones wait for it: its response may turn out to close the connection, and they would then have
// been started in vain. It returns false if the request must not be passed to the handler.
func (c *conn) start(r *response) bool {
	r.exclusive = r.body != nil || c.s.MayOverlap == nil || !c.s.MayOverlap(r.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unanswered > 0 && (r.exclusive || c.exclusive > 0) && !c.noMore && !c.closed {
		c.changed.Wait()
	}
	if c.noMore || c.closed {
		return false
	}
	phase := account.PhaseRunning
	if r.body != nil && c.s.KeptBodyBytes > 0 {
		phase, c.receiving = account.PhaseBody, r.body
	}
	if !c.account.SetPhase(phase) {
		return false
	}
	c.unanswered++
	if r.exclusive {
		c.exclusive++
	}
	if r.closeAfter || c.s.isClosing() {
		r.closeAfter, c.noMore = true, true
	}
	return true
}

// hasLater reports whether a request after r, whose turn it is, has been started. From then on none is started before r is
// complete.
func (c *conn) hasLater(r *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.exclusive {
		r.exclusive = true
		c.exclusive++
	}
	return c.unanswered > 1
}

// awaitBody waits until the body of a request was read, because the next request follows it, and
// reports whether one may be read. If the client leaves meanwhile, the request is cancelled: its handler may
// wait for an upstream that does not read the body.
func (c *conn) awaitBody(r *response) bool {
	if r.body == nil {
		return true
	}
	if netconn.AwaitClose(c.nc, r.body.done, r.done) {
		c.cancel()
	}
	select {
	case <-r.body.done:
		return true
	case <-r.done:
	}
	select {
	case <-r.body.done:
		return true
	default: // the handler did not read the body to its end
		return r.body.discard()
	}
}

// ended records that a response is complete or failed.
func (c *conn) ended(r *response, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(r)
	if c.unanswered == 0 {
		c.account.SetPhase(account.PhaseIdle)
	}
	if r.closeAfter {
		c.noMore = true
	}
	if !ok {
		c.closed, c.noMore = true, true
		c.cancel()
		// Ends the reader and the writers of the other responses.
		_ = c.nc.SetDeadline(time.Unix(1, 0))
	} else if c.noMore && (c.reading || c.watching) {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	c.setIdleDeadline()
	c.changed.Broadcast()
}

// forget removes a response from the unanswered ones; mu is held.
func (c *conn) forget(r *response) {
	c.unanswered--
	c.receiving = nil
	if r.exclusive {
		c.exclusive--
	}
}

// isLast reports whether no request will be passed to the handler after r, so that its response tells
// the client that the connection is closed.
func (c *conn) isLast(r *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.closeAfter || c.noMore && c.unanswered == 1
}

// run calls the handler and completes the response.
func (r *response) run() {
	ok := false
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler && r.c.s.OnPanic != nil {
			r.c.s.OnPanic(v, debug.Stack())
		}
		r.cancel()
		r.unspool()
		r.release()
		if !ok {
			// Aborting the connection earlier would cut the responses before this one.
			select {
			case <-r.turn:
			case <-r.c.ctx.Done():
			}
		}
		if !r.hijacked {
			r.c.ended(r, ok)
		}
		close(r.done)
	}()
	r.c.s.Handler.ServeHTTP(r, r.req)
	ok = r.complete()
}

// closedTurn is the turn of the first response of a connection.
var closedTurn = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
