package catalog

import (
	"fmt"
	"testing"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// BenchmarkConfigurationPatch measures a patch that changes one of 3,000 routes.
func BenchmarkConfigurationPatch(b *testing.B) {
	c := &resource.Configuration{Number: 1, Services: []resource.ConfiguredService{{Name: "shop"}, {Name: "desk"}}}
	for i := range 3000 {
		c.Routes = append(c.Routes, resource.ConfiguredRoute{
			Name: fmt.Sprintf("r%d", i), Host: fmt.Sprintf("host%d.example", i%40), PathPrefix: fmt.Sprintf("/p%d/", i),
			TimeoutMillis: 1000, TargetMillis: 500, MaxAttempts: 2, Service: "shop",
		})
	}
	s := newState()
	body, _ := json.Marshal(c)
	if out := s.apply(&change.Change{ID: "first-configuration-0001", Operator: "op", Organisation: "op", Kind: change.KindConfiguration, Action: change.ActionPut, Name: "configuration", Body: body}, 1); out.State != change.StateAccepted {
		b.Fatalf("%+v", out)
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		next := *c
		next.Base, next.Number = c.Number, c.Number+1
		next.Routes = append([]resource.ConfiguredRoute{}, c.Routes...)
		next.Routes[i%3000].TimeoutMillis++
		body, _ := json.Marshal(resource.NewPatch(c, &next))
		ch := &change.Change{ID: fmt.Sprintf("patch-configuration-%08d", i), Operator: "op", Organisation: "op", Kind: change.KindConfiguration, Action: change.ActionRevise, ExpectedRevision: c.Number, Name: "configuration", Body: body}
		b.StartTimer()
		if out := s.apply(ch, 1); out.State != change.StateAccepted {
			b.Fatalf("%+v", out)
		}
		c = &next
	}
}
