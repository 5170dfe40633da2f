package dialect

// Kind is what a response is to the dispatch after which it was read.
type Kind int

// Kinds of answers.
const (
	// Own is the upstream's answer to the request, whatever its status.
	Own Kind = iota
	// Foreign belongs to another request; the answer may follow on the connection.
	Foreign
	// Rejected proves that the upstream did not run the request.
	Rejected
	// Misdirected proves that another upstream has the address and ran nothing.
	Misdirected
	// Spoiled is no valid answer: the request may have run.
	Spoiled
)

// KindOf decides what a response is to a dispatch. The order of responses on a
// connection proves nothing, as a faulty upstream writes some of them twice. What ties a
// statement that the request did not run to the dispatch is the name in the response,
// on a connection on which no call of that name was refused before; see
// httpcall.Request.Name. Without a name the request may have run. A result whose
// status is a promise to callers is not passed on: the upstream does not make it.
func KindOf(a Answer, d Dispatch) Kind {
	if a.Named && a.ID != d.ID {
		if a.ID != "" {
			return Foreign
		}
		return Spoiled
	}
	switch tied := a.Named && a.ID != ""; {
	case a.Statement == StatesResult && !a.Promise:
		return Own
	case a.Statement == StatesNotRun && tied:
		return Rejected
	case a.Statement == StatesOtherUpstream && tied:
		return Misdirected
	}
	return Spoiled
}
