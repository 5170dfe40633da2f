package harness

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/plugin/experiment/relay"
)

// NewRelay starts a relay to target that adds delay in each direction. The relay is closed at the
// end of the test.
func NewRelay(t testing.TB, target string, delay time.Duration) *relay.Relay {
	t.Helper()
	r, err := relay.New(FreeAddress(t), target, delay)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}
