package quorum

import (
	"reflect"
	"testing"
)

// Guards against a backlog of entries that is encoded in one message, which takes several times its size in memory while a
// member that was stopped catches up, and against parts that lose, repeat or reorder messages.
func TestBacklogIsSentInParts(t *testing.T) {
	const max = 1000
	s := &stepMessage{From: 1, To: 2, name: "b"}
	for i, bytes := range []int{0, 400, 500, 200, 5000, 0, 0, 900, 900} {
		s.add(wireMessage{Index: uint64(i)}, bytes)
	}
	var all []wireMessage
	for i, part := range s.split(max) {
		if part.From != 1 || part.To != 2 || part.name != "b" {
			t.Errorf("part %d is for %v at %q", i, part.To, part.name)
		}
		if part.bytes > max && len(part.Messages) > 1 {
			t.Errorf("part %d has %d bytes in %d messages", i, part.bytes, len(part.Messages))
		}
		all = append(all, part.Messages...)
	}
	if !reflect.DeepEqual(all, s.Messages) {
		t.Errorf("parts hold %v, want %v", all, s.Messages)
	}
	if parts := s.split(1 << 20); len(parts) != 1 || parts[0] != s {
		t.Errorf("a short message was split into %d parts", len(parts))
	}
}
