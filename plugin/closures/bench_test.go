package closures

import (
	"fmt"
	"testing"
)

// designNodes is the number of nodes of the design capacity.
const designNodes = 5600

// newDesignState returns the state after each node of the design capacity has had one upstream that left.
func newDesignState() *state {
	s := newState()
	for i := range designNodes {
		s.apply(uint64(i+1), entry{Node: fmt.Sprintf("node-%d", i), Closure: closure(fmt.Sprintf("i-%08x", i), 1_796_599_313_179, 1234, true)})
	}
	return s
}

// BenchmarkApply measures the cost of one closure.
func BenchmarkApply(b *testing.B) {
	s := newDesignState()
	b.ReportAllocs()
	for i := range b.N {
		s.apply(uint64(designNodes+i+1), entry{Node: fmt.Sprintf("node-%d", i%designNodes), Closure: closure("i-7f3a91c2", 1_796_599_313_179+int64(i), 1, false)})
	}
}

// BenchmarkSnapshot measures the cost and the size of a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	s := newDesignState()
	size := 0
	for range b.N {
		data, err := s.encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
