package outbound

import "github.com/celeryyard/celeryyard/core/resource"

// weightedSplit distributes the requests of one route over clusters by smooth weighted round robin,
// which follows the weights closely over any sequence of requests. It is not safe for
// concurrent use.
type weightedSplit struct {
	shares         []resource.WeightedCluster
	currentWeights []int
	totalWeight    int
}

// newWeightedSplit returns a split that starts at a random position, so that the nodes of a fleet
// do not all send their first request to the same cluster.
func newWeightedSplit(shares []resource.WeightedCluster, intn func(int) int) *weightedSplit {
	s := &weightedSplit{shares: shares, currentWeights: make([]int, len(shares))}
	for _, p := range shares {
		s.totalWeight += p.Weight
	}
	for range intn(max(s.totalWeight, 1)) % maxSplitOffset {
		s.next()
	}
	return s
}

// The random start position of a split is below maxSplitOffset.
const maxSplitOffset = 128

// next returns the cluster of the next request.
func (s *weightedSplit) next() string {
	best := 0
	for i := range s.shares {
		s.currentWeights[i] += s.shares[i].Weight
		if s.currentWeights[i] > s.currentWeights[best] {
			best = i
		}
	}
	s.currentWeights[best] -= s.totalWeight
	return s.shares[best].Cluster
}
