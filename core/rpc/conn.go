package rpc

import (
	"context"
	stdjson "encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler receives each request of a connection on the connection's reading
// goroutine. It must hand the request to a worker and return.
type Handler func(c *Conn, r *Request)

// Conn is one authenticated connection. Its methods are safe for concurrent
// use and never wait for the network, Call excepted.
type Conn struct {
	// Peer is the instance name of the other side, as proved in the handshake.
	Peer   string
	id     uint64
	rpc    *jsonrpc2.Conn
	stream *stream
	done   chan struct{}
	// Bytes counts the traffic of this connection alone.
	Bytes *Bytes
	// Remote is the address of the other side.
	Remote string
}

var lastID atomic.Uint64

// Open runs the handshake on c and serves the connection. client tells which
// side dialled. It blocks for the handshake and closes c on an error.
func Open(c net.Conn, key Key, name string, client bool, h Handler) (*Conn, error) {
	peer, err := handshake(c, key, name, client)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	out := &Conn{Peer: peer, id: lastID.Add(1), Bytes: &Bytes{}, Remote: c.RemoteAddr().String(), done: make(chan struct{})}
	out.stream = newStream(c, out.Bytes)
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

// ID is unique among the connections of the process.
func (c *Conn) ID() uint64 { return c.id }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Notify queues a message without an answer.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// Call sends a request and waits for its answer, which it decodes into result.
// It must not be called on a worker of the kernel's pool: use Go there.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	return c.rpc.Call(ctx, method, params, result)
}

// Go sends a request and returns. done is called on its own goroutine with the
// raw answer or an error; it hands the answer over to a worker.
func (c *Conn) Go(ctx context.Context, method string, params any, done func(result []byte, err error)) {
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

// Request is a received message. Exactly one of Reply and Fail answers it, at
// any time and from any goroutine; both do nothing for a notification.
type Request struct {
	Method string
	Params []byte
	conn   *Conn
	id     jsonrpc2.ID
	notif  bool
}

func newRequest(c *Conn, r *jsonrpc2.Request) *Request {
	out := &Request{Method: r.Method, conn: c, id: r.ID, notif: r.Notif}
	if r.Params != nil {
		out.Params = *r.Params
	}
	return out
}

// Decode decodes the parameters strictly into v.
func (r *Request) Decode(v any) error {
	return errors.Wrapf(json.Unmarshal(r.Params, v, json.RejectUnknownMembers(true)), "%s from %s", r.Method, r.conn.Peer)
}

// Reply queues the answer.
func (r *Request) Reply(result any) {
	if !r.notif {
		_ = r.conn.rpc.Reply(context.Background(), r.id, result)
	}
}

// Fail queues an error as the answer.
func (r *Request) Fail(code int64, err error) {
	if !r.notif {
		_ = r.conn.rpc.ReplyWithError(context.Background(), r.id, &jsonrpc2.Error{Code: code, Message: err.Error()})
	}
}

// Error codes of answers, beside those of JSON-RPC 2.0.
const (
	CodeMalformed   = jsonrpc2.CodeInvalidParams
	CodeUnknown     = jsonrpc2.CodeMethodNotFound
	CodeOverloaded  = 1
	CodeUnavailable = 2
	CodeNotLeader   = 3
	CodeFailed      = 4
)

// Code returns the code of an error answer, or 0 for any other error.
func Code(err error) int64 {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
