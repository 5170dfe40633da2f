package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
)

// BenchmarkSave measures one synced batch on this machine's disk.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := fill(b, b.TempDir(), 0)
			last := uint64(0)
			for range b.N {
				if err := s.Save(Batch{Entries: entries(last, n)}); err != nil {
					b.Fatal(err)
				}
				last += uint64(n)
			}
		})
	}
}

// BenchmarkRecover measures the start of a store by the length of its log.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			if err := fill(b, dir, n).Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, opened, err := Open(diskOptions(dir))
				if err != nil || len(opened.State.Entries) != n {
					b.Fatalf("%d entries recovered, %v", len(opened.State.Entries), err)
				}
				_ = s.Close()
			}
		})
	}
}

func diskOptions(dir string) Options {
	return Options{FS: osFS{}, Dir: dir + "/journal", SegmentBytes: 8 << 20, Salts: rand.Uint64}
}

func fill(b *testing.B, dir string, n int) *Store {
	s, _, err := Open(diskOptions(dir))
	if err != nil {
		b.Fatal(err)
	}
	for last := 0; last < n; last += 100 {
		if err := s.Save(Batch{Entries: entries(uint64(last), 100)}); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// entries returns n entries of 500 bytes after index last.
func entries(last uint64, n int) []replog.Entry {
	list := make([]replog.Entry, n)
	for i := range list {
		list[i] = replog.Entry{Index: last + uint64(i) + 1, Term: 1, Kind: replog.KindData, Data: make([]byte, 500)}
	}
	return list
}
