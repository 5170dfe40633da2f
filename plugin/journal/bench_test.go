package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
)

// BenchmarkSave measures the time to save and sync one batch on the local disk.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := newFilledStore(b, b.TempDir(), 0)
			last := uint64(0)
			for range b.N {
				if err := s.Save(Batch{Entries: newEntries(last, n)}); err != nil {
					b.Fatal(err)
				}
				last += uint64(n)
			}
		})
	}
}

// BenchmarkRecover measures the time to open a store for logs of different lengths.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			if err := newFilledStore(b, dir, n).Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, result, err := Open(diskOptions(dir))
				if err != nil || len(result.State.Entries) != n {
					b.Fatalf("%d entries recovered, %v", len(result.State.Entries), err)
				}
				_ = s.Close()
			}
		})
	}
}

func diskOptions(dir string) Options {
	return Options{FS: osFS{}, Dir: dir + "/journal", SegmentBytes: 8 << 20, NewSalt: rand.Uint64}
}

func newFilledStore(b *testing.B, dir string, n int) *DiskStore {
	s, _, err := Open(diskOptions(dir))
	if err != nil {
		b.Fatal(err)
	}
	for last := 0; last < n; last += 100 {
		if err := s.Save(Batch{Entries: newEntries(uint64(last), 100)}); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// newEntries returns n entries with 500 bytes of data each. The first one follows index last.
func newEntries(last uint64, n int) []replog.Entry {
	entries := make([]replog.Entry, n)
	for i := range entries {
		entries[i] = replog.Entry{Index: last + uint64(i) + 1, Term: 1, Kind: replog.KindData, Data: make([]byte, 500)}
	}
	return entries
}
