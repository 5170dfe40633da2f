package httphead

import (
	"io"
	"sync/atomic"

	"github.com/celeryyard/celeryyard/core/account"
)

const (
	// startBytes is the number of bytes of a head that are passed on before it is complete. Servers wait for the first 4
	// bytes with the timeout of idle connections and for the others with that of heads.
	startBytes = 4
	// minPendingBytes is the smallest buffer for a head that is not complete.
	minPendingBytes = 1 << 10
)

// RequestReader reads requests from a connection for a server. The server gets the bytes of a head only once the head is complete
// and the account has granted what it costs; until then the head costs its bytes. A read ends at the end of a head, so that
// the server can state with SetBody what follows. One goroutine may read at a time.
type RequestReader struct {
	r       io.Reader
	account account.Connection
	scanner requestScanner
	// pending holds received bytes that were not passed on, from next on. The first scanned ones were scanned, and the first ready ones
	// may be passed on.
	pending              []byte
	next, scanned, ready int
	// started is the number of bytes of the current head that were passed on before it was complete.
	started int
	// raw is the part of the account for pending, and cost that for the heads that were passed on; see TakeCost.
	raw  int64
	cost atomic.Int64
	// onLargeHead is set by OnLargeHead.
	onLargeHead func(head []byte)
	// err is the limit that was exceeded, and headErr the error of the connection behind the start of a head.
	err, headErr error
}

// NewRequestReader returns a RequestReader that reads from r.
func NewRequestReader(r io.Reader, a account.Connection, limits RequestLimits) *RequestReader {
	return &RequestReader{r: r, account: a, scanner: requestScanner{max: limits}}
}

// SetBody states the length of the body that follows the head that was just read: -1 for a body in chunks.
func (r *RequestReader) SetBody(length int64) {
	if length < 0 {
		r.scanner.chunks = &chunkScanner{}
		return
	}
	r.scanner.body = length
}

// largeCost is the cost from which on a head is passed to the function of OnLargeHead.
const largeCost = 32 << 10

// OnLargeHead sets a function that gets each head with a high cost before the cost is reserved, except possibly its first 4
// bytes. It must not keep the head.
func (r *RequestReader) OnLargeHead(f func(head []byte)) { r.onLargeHead = f }

// TakeCost returns the bytes that were reserved for the heads and trailers that were read since the last call. The caller
// releases them. It may be called while another goroutine reads.
func (r *RequestReader) TakeCost() int64 {
	if r.cost.Load() == 0 {
		return 0
	}
	return r.cost.Swap(0)
}

// Read implements io.Reader. It blocks until a head is complete, except for its first bytes. An exceeded limit is a
// *account.LimitError.
func (r *RequestReader) Read(p []byte) (int, error) {
	if r.err != nil || len(p) == 0 {
		return 0, r.err
	}
	r.headErr = nil
	if len(r.pending) > 0 {
		return r.readPending(p)
	}
	n, err := r.r.Read(p)
	if n == 0 {
		if r.started > 0 {
			r.headErr = err
		}
		return 0, err
	}
	k, scanErr := r.scan(p[:n], 0)
	if scanErr != nil {
		return 0, scanErr
	}
	if k > 0 {
		r.started = 0
	}
	if k == n {
		return n, err
	}
	if scanErr := r.grow(n - k); scanErr != nil {
		return 0, scanErr
	}
	r.pending = append(r.pending, p[k:n]...)
	if k > 0 {
		return k, err
	}
	r.scanned = n
	return r.readPending(p)
}

// readPending passes on what pending holds, or receives more until the current head is complete.
func (r *RequestReader) readPending(p []byte) (int, error) {
	for {
		if r.ready > 0 {
			n := copy(p, r.pending[r.next:r.next+r.ready])
			r.passOn(n)
			r.ready -= n
			return n, nil
		}
		if r.next+r.scanned < len(r.pending) {
			from, to := r.next+r.scanned, len(r.pending)
			if len(p) == 1 && r.scanned == 0 && r.started == 0 {
				to = from + 1 // net/http reads one byte ahead while a request runs, which must not be refused meanwhile
			}
			k, err := r.scan(r.pending[:to], from)
			if err != nil {
				return 0, err
			}
			if k > 0 {
				r.ready, r.scanned, r.started = r.scanned+k, 0, 0
				continue
			}
			r.scanned = to - r.next
		}
		if r.started < startBytes && r.scanned > 0 {
			n := copy(p, r.pending[r.next:r.next+min(r.scanned, startBytes-r.started)])
			r.started += n
			r.scanned -= n
			r.passOn(n)
			return n, nil
		}
		if err := r.receive(); err != nil {
			return 0, err
		}
	}
}

// passOn removes the first n bytes of pending.
func (r *RequestReader) passOn(n int) {
	r.next += n
	if r.next == len(r.pending) && r.scanned <= 0 {
		r.pending, r.next = nil, 0
		r.account.Release(r.raw)
		r.raw = 0
	}
}

// receive reads more of the current head into pending.
func (r *RequestReader) receive() error {
	if len(r.pending) == cap(r.pending) {
		if err := r.grow(1); err != nil {
			return err
		}
	}
	n, err := r.r.Read(r.pending[len(r.pending):cap(r.pending)])
	r.pending = r.pending[:len(r.pending)+n]
	if n > 0 {
		return nil
	}
	r.headErr = err
	return err
}

// HeadErr returns the error that ended the reading of a head: an exceeded limit or that of the connection; nil if there was
// none. The parser may report another one, since it takes the first bytes of the head for all of it.
func (r *RequestReader) HeadErr() error {
	if r.err != nil {
		return r.err
	}
	return r.headErr
}

// grow makes room for n more bytes in pending.
func (r *RequestReader) grow(n int) error {
	if len(r.pending)+n <= cap(r.pending) {
		return nil
	}
	size := max(2*cap(r.pending), minPendingBytes, len(r.pending)+n)
	if err := r.account.Reserve(account.KindRaw, int64(size)-r.raw); err != nil {
		r.err = err
		return err
	}
	r.raw = int64(size)
	r.pending = append(make([]byte, 0, size), r.pending...)
	return nil
}

// scan scans received bytes, those of b beyond from; see requestScanner.scan. It reserves what heads and trailers cost.
func (r *RequestReader) scan(b []byte, from int) (n int, err error) {
	chunks := r.scanner.chunks
	n, complete, err := r.scanner.scan(b[from:])
	var cost int64
	switch {
	case err != nil:
	case complete:
		cost = RequestCost + r.scanner.takeHead()
		if cost >= largeCost && r.onLargeHead != nil {
			r.onLargeHead(b[:from+n])
		}
	case chunks != nil && chunks.lines > 0:
		cost = headCost(chunks.lines, chunks.bytes) - chunks.reserved
		chunks.reserved += cost
	}
	if cost > 0 {
		if err = r.account.Reserve(account.KindHead, cost); err == nil {
			r.cost.Add(cost)
		}
	}
	r.err = err
	return n, err
}
