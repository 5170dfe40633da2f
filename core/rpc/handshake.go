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

// MaxHandshakeTime is the duration of a handshake after which the side that accepted the connection
// closes it.
const MaxHandshakeTime = 5 * time.Second

// maxHandshakeBytes is the maximum size of a handshake message. It limits the memory that an
// unauthenticated peer can make this process allocate.
const maxHandshakeBytes = 1024

// minKeyBytes is the minimum length of a fleet key: 128 bits, which must be random.
const minKeyBytes = 16

// ErrUnauthenticated means that the peer does not have the fleet key.
var ErrUnauthenticated = errors.New("peer failed to prove the fleet key")

// Key is the fleet key, a secret shared by the processes of a fleet. Its String method hides the
// secret, so that a log line cannot reveal it.
type Key struct{ secret []byte }

// LoadKey reads the key from a file. Trailing spaces and line ends are ignored.
func LoadKey(path string) (Key, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Key{}, errors.Wrap(err, "read fleet key")
	}
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	if len(b) < minKeyBytes {
		return Key{}, errors.Newf("fleet key in %s has %d bytes; at least %d are required", path, len(b), minKeyBytes)
	}
	return Key{secret: b}, nil
}

// NewKey returns a key whose secret does not come from a file. Unlike LoadKey, it accepts a secret of
// any length.
func NewKey(secret []byte) Key { return Key{secret: secret} }

// String implements fmt.Stringer. It returns the same text for every key.
func (Key) String() string { return "[fleet key]" }

// MAC returns the HMAC-SHA256 of purpose and the parts. Each part is preceded by its length, so that
// different splits of the same bytes have different MACs. Each use of the key has its own purpose, so
// that a MAC made for one use is not valid for a different one.
func (k Key) MAC(purpose string, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, k.secret)
	writeWithLength := func(b []byte) {
		n := len(b)
		m.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		m.Write(b)
	}
	writeWithLength([]byte(purpose))
	for _, p := range parts {
		writeWithLength(p)
	}
	return m.Sum(nil)
}

// Verify reports whether mac is the MAC of purpose and the parts. It compares in constant time.
func (k Key) Verify(mac []byte, purpose string, parts ...[]byte) bool {
	return hmac.Equal(mac, k.MAC(purpose, parts...))
}

// handshakeMessage is one message of the handshake. In the first step, each side sends its name and
// nonce. In the second step, each side sends a MAC of both nonces and both names.
type handshakeMessage struct {
	Name  string `json:"name,omitempty"`
	Nonce []byte `json:"nonce,omitempty"`
	MAC   []byte `json:"mac,omitempty"`
}

// handshake authenticates both sides with the fleet key and returns the instance name of the
// peer. It fails after timeout.
func handshake(c net.Conn, key Key, name string, isClient bool, timeout time.Duration) (string, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	local := handshakeMessage{Name: name, Nonce: make([]byte, 16)}
	if _, err := rand.Read(local.Nonce); err != nil {
		return "", errors.Wrap(err, "create handshake nonce")
	}
	remote, err := exchange(c, local)
	if err != nil {
		return "", err
	}
	ownRole, peerRole := "client", "server"
	if !isClient {
		ownRole, peerRole = peerRole, ownRole
	}
	mac := key.MAC(ownRole, local.Nonce, remote.Nonce, []byte(local.Name), []byte(remote.Name))
	answer, err := exchange(c, handshakeMessage{MAC: mac})
	if err != nil {
		return "", err
	}
	if !key.Verify(answer.MAC, peerRole, remote.Nonce, local.Nonce, []byte(remote.Name), []byte(local.Name)) {
		return "", ErrUnauthenticated
	}
	return remote.Name, c.SetDeadline(time.Time{})
}

// exchange sends one handshake message and receives one.
func exchange(c net.Conn, out handshakeMessage) (handshakeMessage, error) {
	var in handshakeMessage
	body, err := json.Marshal(out)
	if err != nil {
		return in, err
	}
	if len(body) > maxHandshakeBytes {
		return in, errors.Newf("instance name of %d bytes is too long for the handshake", len(out.Name))
	}
	frame := append([]byte{byte(len(body) >> 8), byte(len(body))}, body...)
	if _, err := c.Write(frame); err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	header, err := readExactly(c, 2)
	if err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	n := int(header[0])<<8 | int(header[1])
	if n > maxHandshakeBytes {
		return in, errors.Newf("handshake message of %d bytes exceeds the limit of %d", n, maxHandshakeBytes)
	}
	if body, err = readExactly(c, n); err != nil {
		return in, errors.Wrap(err, "handshake")
	}
	return in, errors.Wrap(json.Unmarshal(body, &in), "handshake")
}
