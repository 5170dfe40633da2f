package rpc

import (
	"context"
	stdjson "encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler receives each request of a connection on the connection's reading goroutine. It
// must pass the request to a worker and return.
type Handler func(c *Conn, r *Request)

// Conn is an authenticated connection. Its methods are safe for concurrent use. Only Call
// waits for the network.
type Conn struct {
	// Peer is the instance name that the peer sent in the handshake. The peer has proved that
	// it has the fleet key.
	Peer   string
	id     uint64
	rpc    *jsonrpc2.Conn
	stream *stream
	done   chan struct{}
	// Traffic counts the traffic of this connection.
	Traffic *TrafficCounters
	// RemoteAddress is the network address of the peer.
	RemoteAddress string
}

var lastConnID atomic.Uint64

// Open runs the handshake on c, which blocks for at most timeout, and then calls h for each received
// request. isClient is true on the side that dialled. If there is an error, Open closes c.
func Open(c net.Conn, key Key, name string, isClient bool, timeout time.Duration, h Handler) (*Conn, error) {
	peer, err := handshake(c, key, name, isClient, timeout)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	out := &Conn{Peer: peer, id: lastConnID.Add(1), Traffic: &TrafficCounters{}, RemoteAddress: c.RemoteAddr().String(), done: make(chan struct{})}
	out.stream = newStream(c, out.Traffic)
	ready := make(chan struct{})
	out.rpc = jsonrpc2.NewConn(context.Background(), out.stream, handlerFunc(func(r *jsonrpc2.Request) {
		<-ready // out.rpc is set before the first request is handled
		h(out, newRequest(out, r))
	}), jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	close(ready)
	go func() {
		<-out.rpc.DisconnectNotify()
		close(out.done)
	}()
	return out, nil
}

type handlerFunc func(r *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) { f(r) }

// ID returns the ID of the connection, which is unique within the process.
func (c *Conn) ID() uint64 { return c.id }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection without sending the messages that are still queued.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Notify queues a notification, which has no answer.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// Call sends a request, waits for its answer and decodes the answer into result. Workers of
// the kernel's pool must not use Call, since it blocks.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	return c.rpc.Call(ctx, method, params, result)
}

// CallAsync queues a request and returns without waiting for the answer. done is called on a separate
// goroutine with the raw answer or an error; it must pass them to a worker and return.
func (c *Conn) CallAsync(ctx context.Context, method string, params any, done func(result []byte, err error)) {
	w, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		go done(nil, err)
		return
	}
	go func() {
		var raw stdjson.RawMessage
		err := w.Wait(ctx, &raw)
		done(raw, err)
	}()
}

// Request is a received message. It must be answered exactly once, with a result or an error,
// at any time and on any goroutine. Answers to a notification are discarded.
type Request struct {
	Method string
	// Params is the JSON of the parameters; Decode decodes it.
	Params         []byte
	conn           *Conn
	id             jsonrpc2.ID
	isNotification bool
}

func newRequest(c *Conn, r *jsonrpc2.Request) *Request {
	out := &Request{Method: r.Method, conn: c, id: r.ID, isNotification: r.Notif}
	if r.Params != nil {
		out.Params = *r.Params
	}
	return out
}

// Decode decodes the parameters into v. It returns an error for a field that v does not have.
func (r *Request) Decode(v any) error {
	return errors.Wrapf(json.Unmarshal(r.Params, v, json.RejectUnknownMembers(true)), "%s from %s", r.Method, r.conn.Peer)
}

// Reply queues a successful answer with the given result.
func (r *Request) Reply(result any) {
	if !r.isNotification {
		_ = r.conn.rpc.Reply(context.Background(), r.id, result)
	}
}

// ReplyError queues an error answer with the given code, which ErrorCode returns at the caller, and
// the text of err.
func (r *Request) ReplyError(code int64, err error) {
	if !r.isNotification {
		_ = r.conn.rpc.ReplyWithError(context.Background(), r.id, &jsonrpc2.Error{Code: code, Message: err.Error()})
	}
}

// Codes of error answers. CodeInvalidParams and CodeUnknownMethod are those of JSON-RPC 2.0; the
// others are specific to this protocol.
const (
	CodeInvalidParams = jsonrpc2.CodeInvalidParams
	CodeUnknownMethod = jsonrpc2.CodeMethodNotFound
	CodeOverloaded    = 1 // the receiver has too much work in progress
	CodeUnavailable   = 2 // the receiver is stopping
	CodeNotLeader     = 3 // the receiver is not the leader of the quorum
	CodeFailed        = 4 // the request is valid, but the receiver failed to carry it out
)

// ErrorCode returns the code of an error answer, or 0 for any other error.
func ErrorCode(err error) int64 {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
