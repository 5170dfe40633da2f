package outbound

import "github.com/celeryyard/celeryyard/core/resource"

// split divides the requests of one route by weight: a smooth weighted round
// robin, which keeps the shares exact over any run of requests. It is not safe for
// concurrent use.
type split struct {
	shares  []resource.Share
	current []int
	sum     int
}

// newSplit starts at a random place, so that the nodes of a fleet do not all send
// their first request to the same part.
func newSplit(shares []resource.Share, intn func(int) int) *split {
	s := &split{shares: shares, current: make([]int, len(shares))}
	for _, p := range shares {
		s.sum += p.Weight
	}
	for range intn(max(s.sum, 1)) % maxSplitOffset {
		s.next()
	}
	return s
}

// maxSplitOffset bounds the steps to the random start.
const maxSplitOffset = 128

// next returns the cluster of the next request.
func (s *split) next() string {
	best := 0
	for i := range s.shares {
		s.current[i] += s.shares[i].Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.sum
	return s.shares[best].Cluster
}
