package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/test/harness"
)

// convergeWithin is the time within which an accepted change is in force on all nodes.
const convergeWithin = 3 * time.Second

// statusFor returns the status with which a node answers a call to the host; 0 if it does not answer.
func statusFor(node, host string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+node+"/", nil)
	if err != nil {
		return 0
	}
	r.Host = host
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a node that answers 404, which callers never retry, for a route that was accepted
// longer ago than a change may take: the node is cut off and cannot know that its configuration is old.
func TestNodeThatIsCutOffDeniesNoRoute(t *testing.T) {
	f := startFleet(t, true)
	const zone = "gorenjska-a"
	late := layout.Service{Name: "late-team", Organisation: "tacto-norte"}
	inside, outside := f.callers(zone, true), f.callers(zone, false)
	harness.WaitUntil(t, recoveryTimeout, "all nodes deny a route that does not exist", func() bool {
		for _, node := range append(inside, outside...) {
			if statusFor(node, late.Host()) != http.StatusNotFound {
				return false
			}
		}
		return true
	})
	f.Partition(zone)
	accepted := f.addRoute(late)
	time.Sleep(convergeWithin)
	for time.Since(accepted) < 2*convergeWithin {
		for _, node := range inside {
			if status := statusFor(node, late.Host()); status != http.StatusServiceUnavailable {
				t.Fatalf("status %d from %s, %v after the route was accepted", status, node, time.Since(accepted))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.Heal(zone)
	harness.WaitUntil(t, recoveryTimeout, "the nodes serve the route after the cut", func() bool {
		for _, node := range append(inside, outside...) {
			if statusFor(node, late.Host()) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a node that was paused while a route was accepted, and denies the route once it resumes, before it has
// read what its control instance has sent meanwhile.
func TestPausedNodeDeniesNoRoute(t *testing.T) {
	f := startFleet(t, false)
	node, address := f.Nodes[0], f.Plan.Nodes[0].CallersAddress
	for i := range 3 {
		late := layout.Service{Name: fmt.Sprintf("late-team-%d", i), Organisation: "tacto-norte"}
		harness.WaitUntil(t, recoveryTimeout, "the node denies a route that does not exist", func() bool {
			return statusFor(address, late.Host()) == http.StatusNotFound
		})
		node.Freeze()
		accepted := f.addRoute(late)
		time.Sleep(time.Until(accepted.Add(convergeWithin)))
		first := make(chan int, 8)
		for range cap(first) {
			go func() { first <- statusFor(address, late.Host()) }()
		}
		node.Thaw()
		for range cap(first) {
			if status := <-first; status == http.StatusNotFound {
				t.Errorf("the node denies a route %v after it was accepted", time.Since(accepted))
			}
		}
		harness.WaitUntil(t, recoveryTimeout, "the node serves the route", func() bool { return statusFor(address, late.Host()) == http.StatusOK })
	}
}

// Guards against a node that was paused while a route was withdrawn, and serves it once it resumes. The pause is longer than
// the time after which control instances close the session of a silent node.
func TestPausedNodeServesNoWithdrawnRoute(t *testing.T) {
	f := startFleet(t, false)
	node, address := f.Nodes[0], f.Plan.Nodes[0].CallersAddress
	for i, pause := range []time.Duration{convergeWithin, 2 * convergeWithin} {
		team := layout.Service{Name: fmt.Sprintf("withdrawn-team-%d", i), Organisation: "tacto-norte"}
		f.addRoute(team)
		stale := f.SubmitChange("probe-"+team.Name, team.Organisation, "withdraw", team.Name, 1<<40, nil) // refused with the revision
		harness.WaitUntil(t, recoveryTimeout, "the node serves the route", func() bool { return statusFor(address, team.Host()) == http.StatusOK })
		node.Freeze()
		d := f.SubmitChange("withdraw-"+team.Name, team.Organisation, "withdraw", team.Name, stale.Revision, nil)
		if d.State != "accepted" {
			t.Fatalf("withdrawal: %+v", d)
		}
		time.Sleep(pause)
		first := make(chan int, 8)
		for range cap(first) {
			go func() { first <- statusFor(address, team.Host()) }()
		}
		time.Sleep(50 * time.Millisecond) // the requests wait at the node
		node.Thaw()
		for range cap(first) {
			if status := <-first; status == http.StatusOK {
				t.Errorf("the node serves a route that was withdrawn %v before it resumed", pause)
			}
		}
	}
}

// addRoute adds a team with a route to the service catalogo, and returns when it was accepted.
func (f *fleet) addRoute(team layout.Service) time.Time {
	f.t.Helper()
	body := layout.Team(team, 4000, nil)
	body["parameters"].(map[string]any)["service"] = "catalogo"
	if out, code := f.Command("tacto-norte", "team", "put", f.WriteJSON(team.Name+".json", body)); code != 0 {
		f.t.Fatalf("team not accepted: %s", out)
	}
	return time.Now()
}

// callers returns the callers' addresses of the nodes inside a zone, or of those outside it.
func (f *fleet) callers(zone string, inside bool) []string {
	var list []string
	for _, p := range f.Plan.Nodes {
		if (p.Zone == zone) == inside {
			list = append(list, p.CallersAddress)
		}
	}
	return list
}
