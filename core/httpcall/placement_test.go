package httpcall

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Guards against both holders of a claim changing when a single endpoint is removed, since neither
// new holder would know the claim. Also guards against two holders in one zone if there is an
// endpoint in another zone.
func TestRemovedEndpointLeavesOneHolder(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(6))
	props.Property("one holder stays", prop.ForAll(func(n, zones int, seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		set := &resource.EndpointSet{}
		for i := range n {
			set.Endpoints = append(set.Endpoints, resource.Endpoint{
				Node: fmt.Sprint("n", i), AvailabilityZone: fmt.Sprint("z", r.IntN(zones)), State: resource.StateReady,
			})
		}
		id := ClaimID("o", "s", fmt.Sprint(seed))
		p, b := SelectHolders(set, id)
		for i := range set.Endpoints {
			if e := &set.Endpoints[i]; e.AvailabilityZone != p.AvailabilityZone && b.AvailabilityZone == p.AvailabilityZone {
				return false
			}
			smaller := &resource.EndpointSet{}
			smaller.Endpoints = append(append(smaller.Endpoints, set.Endpoints[:i]...), set.Endpoints[i+1:]...)
			p2, b2 := SelectHolders(smaller, id)
			if p2.Node != p.Node && p2.Node != b.Node && (b2 == nil || b2.Node != p.Node && b2.Node != b.Node) {
				return false
			}
		}
		return true
	}, gen.IntRange(2, 12), gen.IntRange(1, 4), gen.UInt64()))
	props.TestingRun(t)
}
