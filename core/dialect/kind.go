package dialect

// Kind classifies a response relative to the dispatch after which it was read.
type Kind int

// Kinds of answers.
const (
	// Own is the upstream's response to the request, with any status.
	Own Kind = iota
	// Foreign belongs to another request. The response to this one may still follow on the
	// connection.
	Foreign
	// Rejected proves that the upstream did not run the request.
	Rejected
	// Misdirected proves that another upstream has the address and did not run the request.
	Misdirected
	// Spoiled is not a valid response; the request may have run.
	Spoiled
)

// KindOf classifies a response to a dispatch. The order of responses on a connection proves
// nothing, since a faulty upstream sends some of them twice. A statement that the request did
// not run is trusted only if the response carries the request's ID and no call with that ID was
// rejected on the connection before; see httpcall.Request.Name. Without an ID the request may
// have run. A result with a status that callers interpret as a guarantee that the request did
// not run is not passed on: the upstream gives no such guarantee.
func KindOf(a Answer, d Dispatch) Kind {
	if a.Named && a.ID != d.ID {
		if a.ID != "" {
			return Foreign
		}
		return Spoiled
	}
	switch hasID := a.Named && a.ID != ""; {
	case a.Statement == StatesResult && !a.Promise:
		return Own
	case a.Statement == StatesNotRun && hasID:
		return Rejected
	case a.Statement == StatesOtherUpstream && hasID:
		return Misdirected
	}
	return Spoiled
}
