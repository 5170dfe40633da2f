package outbound

import (
	"testing"
	"time"
)

// Guards against 404 for a route that was accepted longer ago than a change may take, and against 503 for
// a route that does not exist while the configuration is current.
func TestOnlyACurrentConfigurationDeniesRoutes(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		age   time.Duration
		known bool
		want  bool
	}{
		{0, true, true},
		{bound, true, true},
		{bound + time.Millisecond, true, false},
		{time.Hour, true, false},
		{0, false, false},
	} {
		if got := mayDenyRoute(c.age, c.known, bound); got != c.want {
			t.Errorf("age %v, known %v: may deny %v, want %v", c.age, c.known, got, c.want)
		}
	}
}
