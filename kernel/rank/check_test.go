//go:build lockcheck

package rank

import "testing"

// Guards against a check that accepts locks acquired out of order.
func TestAcquisitionOutOfOrderPanics(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second Rank
		panics        bool
	}{
		{"rising", Quorum, Catalog, false},
		{"falling", Catalog, Quorum, true},
		{"same rank", Catalog, Catalog, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := NewMutex(tc.first), NewMutex(tc.second)
			a.Lock()
			defer a.Unlock()
			defer func() {
				if got := recover() != nil; got != tc.panics {
					t.Fatalf("panic = %v, want %v", got, tc.panics)
				}
			}()
			b.Lock()
			defer b.Unlock()
		})
	}
}

// Guards against ranks that remain recorded after their locks have been released.
func TestReleaseRemovesRank(t *testing.T) {
	a, b := NewRWMutex(Catalog), NewMutex(Quorum)
	func() {
		a.RLock()
		defer a.RUnlock()
	}()
	b.Lock()
	defer b.Unlock()
}
