package outbound

import (
	"net/http"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// maxOffers is the number of failed dispatches that did not reach an upstream after which a call
// fails.
const maxOffers = 4

// mayHaveArrived reports whether the failed dispatch may have reached an upstream. The route limits
// the number of such dispatches, and retries after them consume the retry budget.
func mayHaveArrived(f *httpcall.Failure) bool {
	return f.Verdict() != verdict.NotRun || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonUpstreamRejected
}

// isIdempotent reports whether a call may safely run more than once. declared is true if the route
// declares its calls idempotent.
func isIdempotent(method string, declared bool) bool {
	return declared || method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// mayRetry reports whether a call may be dispatched again after f. arrivals is the number of failed
// dispatches that may have reached an upstream. Responses of upstreams are never retried: any
// status, including 503, is the result of the call. So only the node whose dispatch was rejected
// retries, and not every caller further up the chain.
func mayRetry(f *httpcall.Failure, idempotent, canRewindBody bool, arrivals, maxAttempts int) bool {
	switch {
	case arrivals >= maxAttempts || !canRewindBody:
		return false
	case f.Kind == httpcall.KindCancelled || f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindRequestBody || f.Kind == httpcall.KindSlowBody:
		return false
	case f.Kind == httpcall.KindRejected && isFinal(f.Reason):
		return false
	case f.Verdict() == verdict.NotRun:
		return true
	}
	return idempotent
}

// isFinal reports whether the reason lies in the call itself or in the calls that it causes, so that
// any other endpoint would reject the call too.
func isFinal(reason string) bool {
	return reason == httpcall.ReasonMalformed || reason == httpcall.ReasonKeyConflict || reason == httpcall.ReasonBodyTooLarge ||
		reason == httpcall.ReasonExpired || reason == httpcall.ReasonNestedCalls
}

// outcomeOf returns how an attempt that failed with f counts for its endpoint.
func outcomeOf(f *httpcall.Failure) Outcome {
	switch f.Kind {
	case httpcall.KindUnreachable, httpcall.KindUnsent:
		return OutcomeRefused
	case httpcall.KindCancelled, httpcall.KindRequestBody, httpcall.KindSlowBody:
		return OutcomeNeutral
	case httpcall.KindRejected:
		return rejectionOutcome(f.Reason)
	}
	return OutcomeFailure
}

// rejectionOutcome returns how a rejection for the reason counts for the endpoint.
func rejectionOutcome(reason string) Outcome {
	switch reason {
	case httpcall.ReasonUpstreamUnreachable, httpcall.ReasonNoUpstream, httpcall.ReasonWrongService:
		return OutcomeRefused
	case httpcall.ReasonUpstreamRejected:
		return OutcomeUpstreamRejected
	case httpcall.ReasonRetryBudget, httpcall.ReasonStayOver, httpcall.ReasonNestedCalls, httpcall.ReasonNestedCallsHere, httpcall.ReasonSlowNow:
		return OutcomeNeutral
	case httpcall.ReasonLeaving, httpcall.ReasonWrongUpstream:
		return OutcomeLeaving
	}
	return OutcomeBusy
}

// httpStatus returns the HTTP status of the response to a call that failed with f. Only what the caller has sent wrongly is
// answered 400: this node has checked the request, so another node that finds it malformed does not understand this one.
func httpStatus(f *httpcall.Failure) int {
	switch {
	case f.Kind == httpcall.KindTimeout || f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonExpired:
		return http.StatusGatewayTimeout
	case f.Kind == httpcall.KindRequestBody:
		return http.StatusBadRequest
	case f.Kind == httpcall.KindSlowBody && f.Verdict() == verdict.NotRun:
		return http.StatusRequestTimeout
	case f.Kind == httpcall.KindSlowBody:
		return http.StatusGatewayTimeout
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case f.Verdict() == verdict.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
