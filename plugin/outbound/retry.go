package outbound

import (
	"net/http"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// maxOffers bounds the failed dispatches of one call that did not reach an upstream.
const maxOffers = 4

// mayHaveArrived reports whether the failed dispatch may have reached an upstream. Retries after
// such dispatches are limited by the route and consume the retry budget.
func mayHaveArrived(f *httpcall.Failure) bool {
	return f.Verdict() != verdict.NotRun || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonUpstreamRejected
}

// isIdempotent reports whether a call may safely run more than once. declared is true if the route
// declares its calls idempotent.
func isIdempotent(method string, declared bool) bool {
	return declared || method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// mayRetry reports whether a call may be dispatched again after f. It is never used for a
// response of an upstream: any status, including 503, is the result of the call. Thus only the
// layer next to a rejection retries.
func mayRetry(f *httpcall.Failure, idempotent, bodyKept bool, attempts, maxAttempts int) bool {
	switch {
	case attempts >= maxAttempts || !bodyKept:
		return false
	case f.Kind == httpcall.KindCancelled || f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindRequestBody:
		return false
	case f.Kind == httpcall.KindRejected && isFinal(f.Reason):
		return false
	case f.Verdict() == verdict.NotRun:
		return true
	}
	return idempotent
}

// isFinal reports whether every other endpoint would reject the call for the same reason.
func isFinal(reason string) bool {
	return reason == httpcall.ReasonMalformed || reason == httpcall.ReasonKeyConflict || reason == httpcall.ReasonBodyTooLarge ||
		reason == httpcall.ReasonExpired
}

// outcomeOf returns the outcome for the endpoint of an attempt that failed with f.
func outcomeOf(f *httpcall.Failure) Outcome {
	switch f.Kind {
	case httpcall.KindUnreachable, httpcall.KindUnsent:
		return OutcomeRefused
	case httpcall.KindCancelled, httpcall.KindRequestBody:
		return OutcomeNeutral
	case httpcall.KindRejected:
		return rejectionOutcome(f.Reason)
	}
	return OutcomeFailure
}

// rejectionOutcome returns the outcome for an endpoint that rejected a call for the reason.
func rejectionOutcome(reason string) Outcome {
	switch reason {
	case httpcall.ReasonUpstreamUnreachable, httpcall.ReasonNoUpstream, httpcall.ReasonWrongService:
		return OutcomeRefused
	case httpcall.ReasonUpstreamRejected:
		return OutcomeUpstreamRejected
	case httpcall.ReasonLeaving, httpcall.ReasonWrongUpstream:
		return OutcomeLeaving
	}
	return OutcomeBusy
}

// httpStatus returns the HTTP status of a failed call.
func httpStatus(f *httpcall.Failure) int {
	switch {
	case f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonExpired:
		return http.StatusGatewayTimeout
	case f.Kind == httpcall.KindRequestBody || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonMalformed:
		return http.StatusBadRequest
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case f.Verdict() == verdict.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
