// Package answer defines what stand-in upstreams answer, so that a caller can
// check that an answer is whole and belongs to its own request. It does no I/O.
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
	// HeaderBytes asks for an answer of that many bytes.
	HeaderBytes = "X-Call-Bytes"
	// HeaderDepth is the number of further calls in the chain behind this one.
	HeaderDepth = "X-Call-Depth"
	// HeaderDirect makes the chain go from stand-in to stand-in, without nodes.
	HeaderDirect = "X-Call-Direct"
	// HeaderFault asks for a fault; see standin.ParseFault.
	HeaderFault = "X-Call-Fault"
	// HeaderUpstream names the stand-in that executed the call, in answers.
	HeaderUpstream = "X-Call-Upstream"
)

// MaxDepth bounds the chain of calls behind one call.
const MaxDepth = 18

// MaxBytes bounds an answer.
const MaxBytes = 4 << 20

const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"

// Body returns the answer of n bytes to call id. It starts with the ID, and the
// rest is text drawn from a generator seeded with the ID, so that the answers
// to two calls differ in every part.
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

// Check returns an error unless body is the whole answer of n bytes to call id.
func Check(id string, n int, body []byte) error {
	if len(body) != n {
		return errors.Newf("answer to %s has %d bytes, expected %d", id, len(body), n)
	}
	if !bytes.Equal(body, Body(id, n)) {
		first, _, _ := bytes.Cut(body, []byte("\n"))
		return errors.Newf("answer to %s is not its own; it starts with %q", id, first[:min(len(first), 64)])
	}
	return nil
}

// ChainID returns the ID of the next call in the chain behind call id. The ID
// of the call that began the chain is its part before the first "~".
func ChainID(id string, depth int) string { return fmt.Sprintf("%s~%d", id, depth) }
