package event

import (
	"errors"
	"strings"
	"testing"
)

// failingOutput accepts capacity bytes and then fails.
type failingOutput struct{ capacity int }

func (b *failingOutput) Write(p []byte) (int, error) {
	n := min(len(p), b.capacity)
	b.capacity -= n
	if n < len(p) {
		return n, errors.New("broken pipe")
	}
	return n, nil
}

// Guards against lines that are lost without being counted after the reader of the log has
// closed the pipe.
func TestLinesOfAFailedOutputAreCounted(t *testing.T) {
	w := NewWriter(&failingOutput{capacity: 25})
	for range 5 {
		_, _ = w.Write([]byte(strings.Repeat("x", 9) + "\n"))
	}
	w.Flush()
	if _, _, dropped := w.Counts(); dropped != 3 {
		t.Errorf("%d lines counted as dropped, but 2 of 5 were written completely", dropped)
	}
}
