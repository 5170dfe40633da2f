package outbound

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

// maxShareError is the bound of the error of a share in a window of shareWindow requests.
const (
	maxShareError = 0.1
	shareWindow   = 300
)

// Guards against shares of a split route that hold only on average: in every window of 300 requests
// over all nodes, and of 300 requests of one node, each part's share must be within 0.1 of that of its
// weight, for any weights, any number of nodes and any order of requests, after a change of the
// weights and after restarts of nodes.
func TestSplitSharesHoldInShortWindows(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(77)
	p.MinSuccessfulTests = 60
	props := gopter.NewProperties(p)
	props.Property("shares", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 1))
		shares := randomShares(rng)
		nodes := make([]*weightedSplit, 1+rng.IntN(120))
		if rng.IntN(3) == 0 {
			nodes = nodes[:1]
		}
		restart := func(i int) { nodes[i] = newWeightedSplit(shares, rng.IntN) }
		for i := range nodes {
			restart(i)
		}
		var window []string
		for n := range 4000 {
			switch {
			case n == 2000:
				shares, window = randomShares(rng), nil
				for i := range nodes {
					restart(i)
				}
			case rng.IntN(100) == 0:
				restart(rng.IntN(len(nodes)))
			}
			window = append(window, nodes[rng.IntN(len(nodes))].next())
			if len(window) < shareWindow {
				continue
			}
			window = window[len(window)-shareWindow:]
			if text := shareErrorIn(window, shares); text != "" {
				return fmt.Sprintf("%d nodes, request %d: %s", len(nodes), n, text)
			}
		}
		return ""
	}, gen.UInt64()))
	props.TestingRun(t)
}

func randomShares(rng *rand.Rand) []resource.WeightedCluster {
	shares := make([]resource.WeightedCluster, 1+rng.IntN(4))
	for i := range shares {
		shares[i] = resource.WeightedCluster{Cluster: fmt.Sprint(i), Weight: 1 + rng.IntN([]int{3, 100, 10000}[rng.IntN(3)])}
	}
	return shares
}

func shareErrorIn(window []string, shares []resource.WeightedCluster) string {
	counts, total := map[string]int{}, 0
	for _, c := range window {
		counts[c]++
	}
	for _, s := range shares {
		total += s.Weight
	}
	for _, s := range shares {
		want, got := float64(s.Weight)/float64(total), float64(counts[s.Cluster])/float64(len(window))
		if math.Abs(want-got) > maxShareError {
			return fmt.Sprintf("share of part %s is %.3f, want %.3f", s.Cluster, got, want)
		}
	}
	return ""
}

// Guards against a part of a split that gets requests although its weight is 0.
func TestPartWithoutWeightGetsNothing(t *testing.T) {
	r := resource.ConfiguredRoute{Name: "r", Host: "h", PathPrefix: "/", Split: []resource.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 3}, {Service: "c", Weight: 1}}}
	for _, part := range r.Expand().Split {
		if part.Weight == 0 {
			t.Fatalf("%+v", part)
		}
	}
}
