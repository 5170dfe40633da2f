package httpcall

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/netconn"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// handshakePath is the path of the handshake, the first request on each connection between nodes.
const handshakePath = "/celeryyard/hello"

// nonceBytes is the length of the nonce that each side sends.
const nonceBytes = 16

// Purposes of MACs under the fleet key. A MAC is valid for one purpose only.
const (
	purposeServer   = "http-server"
	purposeClient   = "http-client"
	purposeRejected = "http-rejected"
)

// Reasons for a rejection, as sent in the signed header.
const (
	ReasonQueueFull           = "full"
	ReasonExpired             = "expired"
	ReasonLeaving             = "leaving"
	ReasonNoUpstream          = "no-upstream"
	ReasonUpstreamUnreachable = "upstream-unreachable"
	ReasonWrongService        = "wrong-service"
	ReasonMalformed           = "malformed"
	ReasonClaimsFull          = "claims-full"
	ReasonBackupUnreachable   = "backup-unreachable"
	ReasonBodyTooLarge        = "too-large"
	ReasonKeyConflict         = "key-conflict"
	// ReasonWaitTooLong means that the call waited in the queue for too long, or would have.
	ReasonWaitTooLong = "wait-too-long"
	// ReasonNestedCalls means that the calls that the upstream makes for the call would be refused, whichever endpoint
	// runs it. With ReasonNestedCallsHere, the cause is probably at this node only.
	ReasonNestedCalls     = "nested-calls"
	ReasonNestedCallsHere = "nested-calls-here"
	// ReasonSlowNow means that the upstream is much slower than usual at the moment, and that the call may be offered to
	// another endpoint first.
	ReasonSlowNow = "slow-now"
	// ReasonStayOver means that the call was queued for as long as its sender permits (HeaderMaxStay).
	ReasonStayOver = "stay-over"
	// ReasonRetryBudget means that the call is a repeat and that the retry budgets do not permit the calls
	// that the upstream would make for it.
	ReasonRetryBudget = "retry-budget"
	// ReasonUpstreamRejected means that the upstream itself refused the call and stated that it did
	// not run it. It is the only reason that applies to a call that has reached the upstream.
	ReasonUpstreamRejected = "upstream-rejected"
	// ReasonWrongUpstream means that the upstream at the address is not the announced one and did not
	// run the call.
	ReasonWrongUpstream = "wrong-upstream"
)

// authState is the authentication state of a connection between nodes, which is the same at both
// ends.
type authState struct {
	// key is the fleet key.
	key                      rpc.Key
	clientNonce, serverNonce []byte
	// requestCount is the number of calls on the connection; both ends count the same calls.
	requestCount uint64
}

// signRejection returns the signature of a rejection of the current call.
func (s *authState) signRejection(reason string) string {
	n := strconv.FormatUint(s.requestCount, 10)
	return hex.EncodeToString(s.key.MAC(purposeRejected, s.clientNonce, s.serverNonce, []byte(n), []byte(reason)))
}

// verifyRejection returns the reason of a rejection and whether it is signed for the current
// call.
func (s *authState) verifyRejection(value string) (reason string, ok bool) {
	reason, mac, found := strings.Cut(value, ";")
	if !found {
		return "", false
	}
	signature, err := hex.DecodeString(mac)
	if err != nil {
		return "", false
	}
	n := strconv.FormatUint(s.requestCount, 10)
	return reason, s.key.Verify(signature, purposeRejected, s.clientNonce, s.serverNonce, []byte(n), []byte(reason))
}

func newNonce() ([]byte, error) {
	b := make([]byte, nonceBytes)
	_, err := rand.Read(b)
	return b, errors.Wrap(err, "nonce")
}

func parseNonce(s string) ([]byte, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != nonceBytes {
		return nil, errors.Newf("nonce of %d characters does not encode %d bytes in hexadecimal", len(s), nonceBytes)
	}
	return b, nil
}

// Session is the server side of one connection between nodes. Only the goroutine that serves
// the connection uses it.
type Session struct {
	conn          net.Conn
	auth          authState
	authenticated bool
}

// AwaitClose waits until the other node has closed the connection, and returns true, or until done is closed,
// and returns false. Unlike the other methods, it may be called on any goroutine.
func (s *Session) AwaitClose(done <-chan struct{}) bool { return netconn.AwaitClose(s.conn, done, nil) }

// CallHeader returns the encoded Call of a request and whether there is one. A request without a Call
// is a message between nodes. The path does not tell calls from messages, since callers choose the
// path of a call.
func CallHeader(r *http.Request) (string, bool) {
	v := r.Header[headerCall]
	if len(v) == 0 {
		return "", false
	}
	return v[0], true
}

// sessionContextKey is the key of the Session in the context of a connection.
type sessionContextKey struct{}

// Acceptor authenticates connections on the listener for other nodes.
type Acceptor struct {
	// Key is the fleet key, which each side proves to hold.
	Key rpc.Key
	// Node is the name of this node, which the handshake proves to the other side.
	Node string
}

// ConnContext adds a session to the context of a connection. It is the http.Server hook of
// the same name.
func (a *Acceptor) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, sessionContextKey{}, &Session{conn: nc, auth: authState{key: a.Key}})
}

// Accept returns the session of an authenticated request. It answers handshakes and
// unauthenticated requests itself; it then returns nil, and the caller must not answer.
func (a *Acceptor) Accept(w http.ResponseWriter, r *http.Request) *Session {
	s, _ := r.Context().Value(sessionContextKey{}).(*Session)
	if s == nil {
		http.Error(w, "connection has no session", http.StatusInternalServerError)
		return nil
	}
	if _, call := CallHeader(r); !call && r.URL.Path == handshakePath {
		a.answerHandshake(w, r, s)
		return nil
	}
	if !s.authenticated && !s.verifyProof(r.Header.Get(headerProof)) {
		w.Header().Set("Connection", "close")
		http.Error(w, "connection is not authenticated", http.StatusForbidden)
		return nil
	}
	s.auth.requestCount++
	return s
}

func (a *Acceptor) answerHandshake(w http.ResponseWriter, r *http.Request, s *Session) {
	client, err := parseNonce(r.Header.Get(headerHello))
	if err != nil || s.auth.serverNonce != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "handshake is malformed or repeated", http.StatusForbidden)
		return
	}
	server, err := newNonce()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.auth.clientNonce, s.auth.serverNonce = client, server
	mac := a.Key.MAC(purposeServer, client, server, []byte(a.Node))
	w.Header().Set(headerHello, hex.EncodeToString(server)+";"+hex.EncodeToString(mac))
	w.Header().Set(headerNode, url.PathEscape(a.Node))
	w.WriteHeader(http.StatusNoContent)
}

// VerifyHead verifies the proof in the head of a request before it is parsed, and reports whether the connection is authenticated.
func (s *Session) VerifyHead(head []byte) bool {
	for !s.authenticated && len(head) > 0 {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		head = rest
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && len(name) == len(headerProof) && strings.EqualFold(string(name), headerProof) {
			return s.verifyProof(string(bytes.TrimSpace(value)))
		}
	}
	return s.authenticated
}

// SessionOf returns the session that ConnContext has added to a context; nil if there is none.
func SessionOf(ctx context.Context) *Session {
	s, _ := ctx.Value(sessionContextKey{}).(*Session)
	return s
}

func (s *Session) verifyProof(proof string) bool {
	if s.auth.serverNonce == nil {
		return false
	}
	mac, err := hex.DecodeString(proof)
	s.authenticated = err == nil && s.auth.key.Verify(mac, purposeClient, s.auth.clientNonce, s.auth.serverNonce)
	return s.authenticated
}

// Reject answers a call with a signed proof that the call did not run and never will. It must be
// the only answer to the request.
func (s *Session) Reject(w http.ResponseWriter, reason string) {
	w.Header().Set(headerRejected, reason+";"+s.auth.signRejection(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// verifyHello verifies the server's answer to the handshake and returns the server's node name. hello
// and node are the values of headerHello and headerNode.
func (s *authState) verifyHello(hello, node string) (string, error) {
	nonce, mac, _ := strings.Cut(hello, ";")
	server, err := parseNonce(nonce)
	if err != nil {
		return "", err
	}
	got, err := hex.DecodeString(mac)
	if err != nil {
		return "", errors.Wrap(err, "greeting")
	}
	name, err := url.PathUnescape(node)
	if err != nil {
		return "", errors.Wrap(err, "greeting")
	}
	if !s.key.Verify(got, purposeServer, s.clientNonce, server, []byte(name)) {
		return "", rpc.ErrUnauthenticated
	}
	s.serverNonce = server
	return name, nil
}
