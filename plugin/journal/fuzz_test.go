package journal

import (
	"math/rand/v2"
	"testing"
)

// FuzzRecover guards against data on disk that makes recovery panic or allocate without bounds, or
// that recovery accepts once but reads differently the next time.
func FuzzRecover(f *testing.F) {
	complete, _ := runUntilCrash(randomOperations(rand.New(rand.NewPCG(3, 3)), 14), -1, errCrash, false)
	for name, file := range complete.files {
		f.Add(name == "snap", file.data)
	}
	f.Add(true, appendUvarintRecord(appendUvarintRecord(nil, recordHead, 3), recordSnapshot, 2, 1, 1))
	f.Fuzz(func(t *testing.T, isPayload bool, data []byte) {
		fs := newSimFS()
		if isPayload { // arbitrary records in a valid frame
			head := appendSegmentHeader(nil, 1, 42)
			head = appendFrame(head, 42, int64(len(head)), appendUvarintRecord(nil, recordHead, 0))
			data = appendFrame(head, 42, int64(len(head)), data)
		}
		file := &simFile{data: data, synced: data}
		fs.files["j/"+segmentName(1)] = file
		_, first, err := openSimStore(fs)
		if err != nil {
			return
		}
		_, second, err := openSimStore(fs)
		if err != nil || !sameState(first.State, second.State) {
			t.Fatalf("second recovery: %v, %+v, first %+v", err, second.State, first.State)
		}
		_, _ = decodeSnapshot(data)
	})
}
