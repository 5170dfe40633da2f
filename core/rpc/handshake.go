package rpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

// handshakeTimeout bounds the exchange that opens a connection.
const handshakeTimeout = 5 * time.Second

// maxHello bounds the bytes of one handshake message; an unauthenticated peer
// can make this process allocate no more.
const maxHello = 1024

// minKeyBytes is the least length of a fleet key (128 bits of random text).
const minKeyBytes = 16

// ErrUnauthenticated means that the other side does not hold the fleet key.
var ErrUnauthenticated = errors.New("peer failed to prove the fleet key")

// Key is the secret shared by the processes of a fleet. It prints as a mask.
type Key struct{ secret []byte }

// LoadKey reads the key from a file; white space at its end is not part of it.
func LoadKey(path string) (Key, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Key{}, errors.Wrap(err, "fleet key")
	}
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	if len(b) < minKeyBytes {
		return Key{}, errors.Newf("fleet key in %s has %d bytes, at least %d are required", path, len(b), minKeyBytes)
	}
	return Key{secret: b}, nil
}

// NewKey returns a key with the given secret.
func NewKey(secret []byte) Key { return Key{secret: secret} }

// String hides the secret from logs.
func (Key) String() string { return "[fleet key]" }

// MAC returns the HMAC-SHA256 of the parts, each preceded by its length, so that
// different splits of the same bytes differ. purpose separates uses of the key.
func (k Key) MAC(purpose string, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, k.secret)
	write := func(b []byte) {
		n := len(b)
		m.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		m.Write(b)
	}
	write([]byte(purpose))
	for _, p := range parts {
		write(p)
	}
	return m.Sum(nil)
}

// Verify compares a received MAC in constant time.
func (k Key) Verify(mac []byte, purpose string, parts ...[]byte) bool {
	return hmac.Equal(mac, k.MAC(purpose, parts...))
}

// hello is the message of each step of the handshake: both sides send name and
// nonce, then each sends the MAC of both nonces and both names.
type hello struct {
	Name  string `json:"name,omitempty"`
	Nonce []byte `json:"nonce,omitempty"`
	MAC   []byte `json:"mac,omitempty"`
}

// handshake proves the key to the other side and checks its proof. It returns
// the instance name of the other side.
func handshake(c net.Conn, key Key, name string, client bool) (string, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	mine := hello{Name: name, Nonce: make([]byte, 16)}
	if _, err := rand.Read(mine.Nonce); err != nil {
		return "", errors.Wrap(err, "handshake nonce")
	}
	theirs, err := exchange(c, mine)
	if err != nil {
		return "", err
	}
	own, other := "client", "server"
	if !client {
		own, other = other, own
	}
	proof := key.MAC(own, mine.Nonce, theirs.Nonce, []byte(mine.Name), []byte(theirs.Name))
	answer, err := exchange(c, hello{MAC: proof})
	if err != nil {
		return "", err
	}
	if !key.Verify(answer.MAC, other, theirs.Nonce, mine.Nonce, []byte(theirs.Name), []byte(mine.Name)) {
		return "", ErrUnauthenticated
	}
	return theirs.Name, c.SetDeadline(time.Time{})
}

// exchange sends one handshake message and reads one.
func exchange(c net.Conn, out hello) (hello, error) {
	var in hello
	body, err := json.Marshal(out)
	if err != nil {
		return in, err
	}
	if len(body) > maxHello {
		return in, errors.Newf("instance name of %d bytes is too long for the handshake", len(out.Name))
	}
	frame := append([]byte{byte(len(body) >> 8), byte(len(body))}, body...)
	if _, err := c.Write(frame); err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	head, err := readAll(c, 2)
	if err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	n := int(head[0])<<8 | int(head[1])
	if n > maxHello {
		return in, errors.Newf("handshake message of %d bytes exceeds %d", n, maxHello)
	}
	if body, err = readAll(c, n); err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	return in, errors.Wrap(json.Unmarshal(body, &in), "handshake")
}
