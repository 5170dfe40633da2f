package dialect

import "testing"

// Guards against trusting a statement that does not carry the ID of the dispatch, and against
// passing a response to another request. It checks each combination of statement and IDs.
func TestExecutionStatusNeedsRequestID(t *testing.T) {
	for s := ExecutionResult; s <= ExecutionInvalid; s++ {
		for _, id := range []string{"", "a"} {
			d := Dispatch{ID: id}
			if got := ClassifyAnswer(Answer{ExecutionStatus: s}, d); (got == AnswerOwn) != (s == ExecutionResult) || got != AnswerOwn && got != AnswerInvalid {
				t.Errorf("statement %d of a dialect without IDs to %q: kind %d", s, id, got)
			}
			if got := ClassifyAnswer(Answer{ExecutionStatus: s, RequiresID: true, ID: "b"}, d); got != AnswerForeign {
				t.Errorf("statement %d to a request other than %q: kind %d", s, id, got)
			}
		}
		withoutID, withID := Answer{ExecutionStatus: s, RequiresID: true}, Answer{ExecutionStatus: s, RequiresID: true, ID: "a"}
		if got := ClassifyAnswer(withoutID, Dispatch{ID: "a"}); got != AnswerInvalid {
			t.Errorf("statement %d without an ID: kind %d", s, got)
		}
		if got := ClassifyAnswer(withoutID, Dispatch{}); (got == AnswerOwn) != (s == ExecutionResult) || got != AnswerOwn && got != AnswerInvalid {
			t.Errorf("statement %d without an ID to a request without one: kind %d", s, got)
		}
		want := map[ExecutionStatus]AnswerKind{ExecutionResult: AnswerOwn, ExecutionNotRun: AnswerRejected, ExecutionOtherUpstream: AnswerMisdirected, ExecutionInvalid: AnswerInvalid}[s]
		if got := ClassifyAnswer(withID, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d with the ID of the request: kind %d, want %d", s, got, want)
		}
		withID.StatusMeansNotRun = true
		if want == AnswerOwn {
			want = AnswerInvalid
		}
		if got := ClassifyAnswer(withID, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d with a status that means not run: kind %d, want %d", s, got, want)
		}
	}
}
