package dialect

// AnswerKind is how a response that was read after a dispatch relates to that dispatch.
type AnswerKind int

// Kinds of answers.
const (
	// AnswerOwn is the upstream's response to the request, with any status.
	AnswerOwn AnswerKind = iota
	// AnswerForeign belongs to another request. The response to this one may still follow on the
	// connection.
	AnswerForeign
	// AnswerRejected proves that the upstream did not run the request.
	AnswerRejected
	// AnswerMisdirected proves that the upstream at the address is not the expected one and did not
	// run the request.
	AnswerMisdirected
	// AnswerInvalid is not a valid response; the request may have run.
	AnswerInvalid
)

// ClassifyAnswer classifies a response that was read after a dispatch.
//
// The order of responses on a connection proves nothing, since a faulty upstream sends some of them
// twice. A statement that the request did not run is therefore trusted only if the response contains
// the request's ID. The caller must also ensure that no call with that ID was rejected on the
// connection before; see httpcall.Request.ID. Without an ID in the response, the request may have
// run.
//
// A result whose status callers interpret as a guarantee that the request did not run is invalid,
// because the upstream gives no such guarantee with a result.
func ClassifyAnswer(a Answer, d Dispatch) AnswerKind {
	if a.RequiresID && a.ID != d.ID {
		if a.ID != "" {
			return AnswerForeign
		}
		return AnswerInvalid
	}
	switch hasID := a.RequiresID && a.ID != ""; {
	case a.ExecutionStatus == ExecutionResult && !a.StatusMeansNotRun:
		return AnswerOwn
	case a.ExecutionStatus == ExecutionNotRun && hasID:
		return AnswerRejected
	case a.ExecutionStatus == ExecutionOtherUpstream && hasID:
		return AnswerMisdirected
	}
	return AnswerInvalid
}
