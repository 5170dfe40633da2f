package journal

import (
	"math/rand/v2"
	"testing"
)

// FuzzRecover guards against bytes on disk that crash recovery, that recovery
// accepts and cannot read again, or that make it allocate without bound.
func FuzzRecover(f *testing.F) {
	whole, _ := crashAt(script(rand.New(rand.NewPCG(3, 3)), 14), -1, errCrash, false)
	for name, file := range whole.names {
		f.Add(name == "snap", file.data)
	}
	f.Add(true, appendNumbers(appendNumbers(nil, recHead, 3), recSnapshot, 2, 1, 1))
	f.Fuzz(func(t *testing.T, payload bool, data []byte) {
		fs := newSimFS()
		if payload { // arbitrary records in a valid frame
			head := appendSegmentHeader(nil, 1, 42)
			head = appendFrame(head, 42, int64(len(head)), appendNumbers(nil, recHead, 0))
			data = appendFrame(head, 42, int64(len(head)), data)
		}
		file := &simFile{data: data, synced: data}
		fs.names["j/"+segmentName(1)] = file
		_, first, err := openSim(fs)
		if err != nil {
			return
		}
		_, second, err := openSim(fs)
		if err != nil || !sameState(first.State, second.State) {
			t.Fatalf("second recovery: %v, %+v, first %+v", err, second.State, first.State)
		}
		_, _ = decodeSnapshot(data)
	})
}
