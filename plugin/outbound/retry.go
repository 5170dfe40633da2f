package outbound

import (
	"net/http"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// maxOffers bounds the dispatches of one call that no upstream has received.
const maxOffers = 4

// arrived reports whether the failed dispatch may have reached an upstream. Such
// dispatches are bounded by the route and draw on the retry budget.
func arrived(f *httpcall.Failure) bool {
	return f.Verdict() != verdict.NotRun || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonUpstream
}

// idempotent reports whether a call may run more than once.
func idempotent(method string, route bool) bool {
	return route || method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// mayRetry decides whether a call may be dispatched again after f. Answers never
// come here: the status of an upstream, 503 too, is the result of the call, so
// that only the layer next to a rejection retries.
func mayRetry(f *httpcall.Failure, idempotent, bodyKept bool, attempts, most int) bool {
	switch {
	case attempts >= most || !bodyKept:
		return false
	case f.Kind == httpcall.KindCancelled || f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindSource:
		return false
	case f.Kind == httpcall.KindRejected && final(f.Reason):
		return false
	case f.Verdict() == verdict.NotRun:
		return true
	}
	return idempotent
}

// final reports whether a rejection would be the same at any other endpoint.
func final(reason string) bool {
	return reason == httpcall.ReasonMalformed || reason == httpcall.ReasonConflict || reason == httpcall.ReasonTooLarge ||
		reason == httpcall.ReasonExpired
}

// outcome tells what a failure says of the endpoint.
func outcome(f *httpcall.Failure) Outcome {
	switch f.Kind {
	case httpcall.KindUnreachable, httpcall.KindUnsent:
		return OutcomeRefused
	case httpcall.KindCancelled, httpcall.KindSource:
		return OutcomeNeutral
	case httpcall.KindRejected:
		return rejectionOutcome(f.Reason)
	}
	return OutcomeFailure
}

func rejectionOutcome(reason string) Outcome {
	switch reason {
	case httpcall.ReasonUnreachable, httpcall.ReasonNoUpstream, httpcall.ReasonService:
		return OutcomeRefused
	case httpcall.ReasonUpstream:
		return OutcomeShed
	case httpcall.ReasonLeaving, httpcall.ReasonIdentity:
		return OutcomeLeaving
	}
	return OutcomeBusy
}

// status is the HTTP status of a failed call.
func status(f *httpcall.Failure) int {
	switch {
	case f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonExpired:
		return http.StatusGatewayTimeout
	case f.Kind == httpcall.KindSource || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonMalformed:
		return http.StatusBadRequest
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonConflict:
		return http.StatusUnprocessableEntity
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case f.Verdict() == verdict.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
