package httpcall

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/rpc"
)

// helloPath is requested first on each connection between nodes.
const helloPath = "/celeryyard/hello"

// nonceBytes is the length of the random value of each side.
const nonceBytes = 16

// Purposes separate the uses of the fleet key.
const (
	purposeServer   = "http-server"
	purposeClient   = "http-client"
	purposeRejected = "http-rejected"
)

// Reasons of a rejection, as they stand in the signed header.
const (
	ReasonFull        = "full"
	ReasonExpired     = "expired"
	ReasonLeaving     = "leaving"
	ReasonNoUpstream  = "no-upstream"
	ReasonUnreachable = "upstream-unreachable"
	ReasonService     = "wrong-service"
	ReasonMalformed   = "malformed"
	ReasonClaimsFull  = "claims-full"
	ReasonBackup      = "backup-unreachable"
	ReasonTooLarge    = "too-large"
	ReasonConflict    = "key-conflict"
	// ReasonWait: the call would have waited for longer than is useful.
	ReasonWait = "wait-too-long"
	// ReasonUpstream: the upstream itself refused the call with a proof. It is the
	// only rejection of a call that has reached the upstream.
	ReasonUpstream = "upstream-rejected"
	// ReasonIdentity: another upstream than the announced one has the address.
	ReasonIdentity = "wrong-upstream"
)

// secret is what both ends of a connection between nodes share.
type secret struct {
	key            rpc.Key
	client, server []byte
	// requests counts the calls on the connection; both ends count alike.
	requests uint64
}

func (s *secret) rejection(reason string) string {
	n := strconv.FormatUint(s.requests, 10)
	return hex.EncodeToString(s.key.MAC(purposeRejected, s.client, s.server, []byte(n), []byte(reason)))
}

// verifyRejection returns the reason of a signed rejection of the current call.
func (s *secret) verifyRejection(value string) (reason string, ok bool) {
	reason, mac, found := strings.Cut(value, ";")
	if !found {
		return "", false
	}
	got, err := hex.DecodeString(mac)
	if err != nil {
		return "", false
	}
	n := strconv.FormatUint(s.requests, 10)
	return reason, s.key.Verify(got, purposeRejected, s.client, s.server, []byte(n), []byte(reason))
}

func newNonce() ([]byte, error) {
	b := make([]byte, nonceBytes)
	_, err := rand.Read(b)
	return b, errors.Wrap(err, "nonce")
}

func parseNonce(s string) ([]byte, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != nonceBytes {
		return nil, errors.Newf("nonce of %d characters is not %d hexadecimal bytes", len(s), nonceBytes)
	}
	return b, nil
}

// Session is the server's side of one connection between nodes. It is used by
// the goroutine that serves the connection only.
type Session struct {
	secret secret
	authed bool
}

// CallHeader returns the encoded Call of a request; without one the request is a
// message between nodes. Paths alone do not tell, since callers choose theirs.
func CallHeader(r *http.Request) (string, bool) {
	v := r.Header[headerCall]
	if len(v) == 0 {
		return "", false
	}
	return v[0], true
}

type sessionKey struct{}

// Acceptor authenticates connections on the listener for other nodes.
type Acceptor struct {
	Key  rpc.Key
	Node string
}

// ConnContext is the hook of http.Server that gives each connection a session.
func (a *Acceptor) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, sessionKey{}, &Session{secret: secret{key: a.Key}})
}

// Accept returns the session of an authenticated request. It answers greetings
// and requests of strangers itself and then returns nil.
func (a *Acceptor) Accept(w http.ResponseWriter, r *http.Request) *Session {
	s, _ := r.Context().Value(sessionKey{}).(*Session)
	if s == nil {
		http.Error(w, "connection has no session", http.StatusInternalServerError)
		return nil
	}
	if _, call := CallHeader(r); !call && r.URL.Path == helloPath {
		a.hello(w, r, s)
		return nil
	}
	if !s.authed && !s.prove(r.Header.Get(headerProof)) {
		w.Header().Set("Connection", "close")
		http.Error(w, "connection is not authenticated", http.StatusForbidden)
		return nil
	}
	s.secret.requests++
	return s
}

func (a *Acceptor) hello(w http.ResponseWriter, r *http.Request, s *Session) {
	client, err := parseNonce(r.Header.Get(headerHello))
	if err != nil || s.secret.server != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "greeting is malformed or repeated", http.StatusForbidden)
		return
	}
	server, err := newNonce()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.secret.client, s.secret.server = client, server
	mac := a.Key.MAC(purposeServer, client, server, []byte(a.Node))
	w.Header().Set(headerHello, hex.EncodeToString(server)+";"+hex.EncodeToString(mac))
	w.Header().Set(headerNode, url.PathEscape(a.Node))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Session) prove(proof string) bool {
	if s.secret.server == nil {
		return false
	}
	mac, err := hex.DecodeString(proof)
	s.authed = err == nil && s.secret.key.Verify(mac, purposeClient, s.secret.client, s.secret.server)
	return s.authed
}

// Reject answers a call with the proof that it did not run and never will. It
// must be the only answer of the request.
func (s *Session) Reject(w http.ResponseWriter, reason string) {
	w.Header().Set(headerRejected, reason+";"+s.secret.rejection(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// checkHello verifies the server's greeting and returns the name of its node.
func (s *secret) checkHello(hello, node string) (string, error) {
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
	if !s.key.Verify(got, purposeServer, s.client, server, []byte(name)) {
		return "", rpc.ErrUnauthenticated
	}
	s.server = server
	return name, nil
}
