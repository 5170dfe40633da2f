package httpserve

import (
	"net/http"

	"github.com/celeryyard/celeryyard/core/account"
)

// spool accounts for the held bytes and reports whether they may be held.
func (r *response) spool() bool {
	if len(r.out) > maxSpooledBytes || !r.holdOut() {
		return false
	}
	grown := int64(len(r.out)) - r.spooled
	r.spooled += grown
	return r.c.s.spooled.Add(grown) <= maxSpooledTotal
}

// holdOut accounts for the buffer of out and reports whether it may be held. The first outBytes are part of the cost of a request.
func (r *response) holdOut() bool {
	grown := int64(cap(r.out)) - r.outHeld
	if grown <= 0 || cap(r.out) <= outBytes {
		return true
	}
	if r.c.account.Reserve(account.KindResponse, grown) != nil {
		return false
	}
	r.outHeld += grown
	r.held.Add(grown)
	return true
}

// release ends the accounting for the request.
func (r *response) release() {
	r.c.account.Release(r.held.Swap(0))
}

// Reserve accounts for n bytes that the handler of a response of a Server holds until it returns, and reports whether it may.
func Reserve(w http.ResponseWriter, k account.Kind, n int64) bool {
	r, ok := w.(*response)
	if !ok {
		return true
	}
	if r.c.account.Reserve(k, n) != nil {
		return false
	}
	r.held.Add(n)
	return true
}

// unspool ends the accounting for held bytes.
func (r *response) unspool() {
	r.c.s.spooled.Add(-r.spooled)
	r.spooled = 0
}
