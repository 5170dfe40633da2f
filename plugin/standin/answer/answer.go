// Package answer defines the answers of stand-in upstreams, so that a caller can check that an
// answer is complete and belongs to its own call. It does no I/O.
package answer

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Headers between callers and stand-ins.
const (
	// HeaderID carries the unique ID of a call, in requests and answers.
	HeaderID = "X-Call-Id"
	// HeaderBytes is the requested size of the answer's body in bytes.
	HeaderBytes = "X-Call-Bytes"
	// HeaderDepth is the number of further calls chained behind this one.
	HeaderDepth = "X-Call-Depth"
	// HeaderDirect makes the stand-ins of a chain call each other directly, without nodes.
	HeaderDirect = "X-Call-Direct"
	// HeaderFault requests a fault; see standin.ParseFault for its format.
	HeaderFault = "X-Call-Fault"
	// HeaderUpstream carries the name of the stand-in that executed the call, in answers.
	HeaderUpstream = "X-Call-Upstream"
)

// MaxDepth is the maximum number of calls chained behind one call. A stand-in answers a call
// with a larger depth with status 400.
const MaxDepth = 18

// MaxBytes is the maximum size of an answer's body in bytes. A stand-in answers a call that
// requests more with status 400.
const MaxBytes = 4 << 20

const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"

// Body returns the answer of n bytes to the call with the given ID. It starts with the ID, followed
// by pseudo-random text that is seeded with the ID and n, so that the answers to two calls differ
// throughout.
func Body(id string, n int) []byte {
	b := make([]byte, 0, n+8)
	b = append(b, id...)
	b = append(b, '\n')
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(id), uint64(n)))
	for len(b) < n {
		for v, i := rng.Uint64(), 0; i < 10; i++ {
			b = append(b, alphabet[v&63])
			v >>= 6
		}
	}
	return b[:n]
}

// Check returns an error unless body is the complete answer of n bytes to the call with the given
// ID.
func Check(id string, n int, body []byte) error {
	if len(body) != n {
		return errors.Newf("answer to %s has %d bytes, expected %d", id, len(body), n)
	}
	if !bytes.Equal(body, Body(id, n)) {
		first, _, _ := bytes.Cut(body, []byte("\n"))
		return errors.Newf("answer to %s is altered or belongs to another call; it starts with %q", id, first[:min(len(first), 64)])
	}
	return nil
}

// ChainID returns the ID of the next call in a chain. The parameter id is the ID of the call that
// started the chain; it becomes the part before the first "~". The parameter depth is the number of
// calls left in the chain, including the next one.
func ChainID(id string, depth int) string { return fmt.Sprintf("%s~%d", id, depth) }
