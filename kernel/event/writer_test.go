package event

import (
	"errors"
	"strings"
	"testing"
)

// brokenOutput takes a number of bytes and then fails.
type brokenOutput struct{ room int }

func (b *brokenOutput) Write(p []byte) (int, error) {
	n := min(len(p), b.room)
	b.room -= n
	if n < len(p) {
		return n, errors.New("broken pipe")
	}
	return n, nil
}

// Guards against lines that are lost without a trace when the reader of the log has gone.
func TestLinesOfAFailedOutputAreCounted(t *testing.T) {
	w := NewWriter(&brokenOutput{room: 25})
	for range 5 {
		_, _ = w.Write([]byte(strings.Repeat("x", 9) + "\n"))
	}
	w.Flush()
	if _, _, dropped := w.Counts(); dropped != 3 {
		t.Errorf("%d lines counted as dropped, 2 of 5 were written whole", dropped)
	}
}
