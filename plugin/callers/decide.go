package callers

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Reason is why a request is not admitted; empty for one that is.
type Reason string

// Reasons. A request that is refused for one of them has not run and never will.
const (
	// ReasonMissing means that the request has no key, and its route needs one.
	ReasonMissing Reason = "missing"
	// ReasonUnknown means that no calling team has the key of the request.
	ReasonUnknown Reason = "unknown"
	// ReasonUncertain means that the held configuration denies the request, but is not known to be the newest one.
	ReasonUncertain Reason = "uncertain"
	// ReasonUnconfirmed means that the key may have been withdrawn meanwhile (Policy.Strict).
	ReasonUnconfirmed Reason = "unconfirmed"
)

// reasons lists all reasons.
var reasons = [...]Reason{ReasonMissing, ReasonUnknown, ReasonUncertain, ReasonUnconfirmed}

// IsDenial reports whether the held configuration denies the request, which is true of the newest one only if the held
// one is current.
func (r Reason) IsDenial() bool { return r == ReasonMissing || r == ReasonUnknown }

// Identify returns the calling team that has the key. known is false if the key is empty or no team has it.
func Identify(s *resource.Snapshot, apiKey string) (caller *resource.Caller, known bool) {
	if apiKey == "" || len(apiKey) > resource.MaxAPIKeyBytes {
		return nil, false
	}
	caller = s.CallersByKey[resource.DigestKey(apiKey)]
	return caller, caller != nil
}

// Contact is what a node knows about the currency of its configuration.
type Contact struct {
	// Age is how long ago the configuration is known to have been the newest one; Known is false if that was never known.
	Age   time.Duration
	Known bool
}

// mayDeny reports whether a node may deny a request at once. A missing key may be denied if the configuration was the
// newest one at most convergeWithin ago, as a route may. An unknown key needs a confirmation of a time after the
// request has arrived: it may be in a configuration that was accepted just before.
func (c Contact) mayDeny(r Reason, convergeWithin time.Duration) bool {
	return r == ReasonMissing && c.Known && c.Age <= convergeWithin
}

// Policy decides about keys while the configuration is not confirmed.
type Policy struct {
	// Strict refuses all requests with keys if the configuration was not confirmed within Within. Otherwise the
	// keys of the held configuration stay valid.
	Strict bool
	Within time.Duration
}

// mayUseKeys reports whether the keys of the held configuration are still valid.
func (p Policy) mayUseKeys(c Contact) bool { return !p.Strict || c.Known && c.Age <= p.Within }

// Decide decides about a request with a key, which is empty if the request has none. anonymous is that of its route.
// caller is nil for an admitted request without a known team. Without calling teams, every request is admitted.
func Decide(s *resource.Snapshot, anonymous bool, apiKey string, c Contact, p Policy) (caller *resource.Caller, reason Reason) {
	if len(s.Callers) == 0 {
		return nil, ""
	}
	if apiKey != "" && !p.mayUseKeys(c) {
		return nil, ReasonUnconfirmed
	}
	caller, known := Identify(s, apiKey)
	switch {
	case known || anonymous:
		return caller, ""
	case apiKey == "":
		return nil, ReasonMissing
	}
	return nil, ReasonUnknown
}

// waitLimit returns how long a request that is denied waits for the confirmation of the denial. left is the time that its
// caller still waits, within which the answer must arrive. A confirmation within the wait is at most as old as the
// wait, so that the wait must not exceed convergeWithin.
func waitLimit(left, convergeWithin time.Duration) time.Duration {
	return max(min(left*3/4, convergeWithin, maxConfirmationWait), 0)
}

// maxConfirmationWait bounds the wait for a confirmation. A node in contact gets one within the pause between two requests
// (0.25 s) and a read that a majority confirms; an election of a leader takes longer than a request should wait.
const maxConfirmationWait = time.Second
