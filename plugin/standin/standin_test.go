package standin_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/standin"
	"github.com/celeryyard/celeryyard/plugin/standin/answer"
)

// Guards against a check that accepts an answer to another call or a truncated or altered answer.
func TestCheckDetectsEveryChangedByte(t *testing.T) {
	for _, n := range []int{0, 1, 3, 100, 4097} {
		body := answer.Body("run-1-2", n)
		if err := answer.Check("run-1-2", n, body); err != nil {
			t.Fatal(err)
		}
		for i := range body {
			body[i] ^= 1
			if answer.Check("run-1-2", n, body) == nil {
				t.Fatalf("a change of byte %d of %d is not detected", i, n)
			}
			body[i] ^= 1
		}
		if n > 8 && answer.Check("run-1-3", n, body) == nil || n > 0 && answer.Check("run-1-2", n, body[:n-1]) == nil {
			t.Fatalf("an answer to another call or a truncated answer of %d bytes is not detected", n)
		}
	}
}

// Guards against service times whose mean differs from the setting.
func TestMeanServiceTimeMatchesSetting(t *testing.T) {
	for _, d := range []string{"constant", "uniform", "exponential", "lognormal"} {
		s := standin.ServiceTime{Distribution: d, Mean: 10_000}
		rng, sum := rand.New(rand.NewPCG(1, 2)), 0.0
		const draws = 200_000
		for range draws {
			sum += float64(s.Draw(rng))
		}
		if mean := sum / draws; mean < 9_700 || mean > 10_300 {
			t.Errorf("%s: mean %.0f of 10000", d, mean)
		}
	}
}

// Guards against executions that are not counted, shed calls that are counted as executed, and
// truncated answers that the client accepts as complete.
func TestExecutionsAndFaults(t *testing.T) {
	listen, report := kerneltest.FreeAddress(t), kerneltest.FreeAddress(t)
	text := fmt.Sprintf(`{"instance": {"name": "u"}, "standin": {"service": "s", "listen": %q, "report": %q,
		"service_time": {"distribution": "constant", "mean": "1ms"}, "chain": {"node": %q, "host": "s"}}}`, listen, report, listen)
	k, _ := kerneltest.Start(t, []string{"standin"}, text, false)
	c := httponce.New(4)
	kerneltest.WaitUntil(t, 5*time.Second, "listener", func() bool {
		_, err := call(c, listen, "warm", "", 0)
		return err == nil
	})
	for _, tc := range []struct {
		id, fault string
		status    int // 0 for an error
		runs      int
	}{{"a", "", 200, 1}, {"b", "status=500", 500, 1}, {"c", "shed", 503, 0}, {"d", "cut=50", 0, 1}, {"e", "hang", 0, 1}} {
		res, err := call(c, listen, tc.id, tc.fault, 0)
		switch {
		case tc.status == 0 && (err == nil || verdict.Of(err) != verdict.MayHaveRun):
			t.Errorf("%s: answer %v, error %v", tc.fault, res, err)
		case tc.status != 0 && (err != nil || res.Status != tc.status):
			t.Errorf("%s: answer %v, error %v", tc.fault, res, err)
		}
		if n := k.Plugin("standin").(*standin.Standin).Executions(tc.id).Counts[tc.id]; n != tc.runs {
			t.Errorf("%s: %d executions, expected %d", tc.fault, n, tc.runs)
		}
	}
	if res, err := call(c, listen, "deep", "", 8); err != nil || res.Status != 200 {
		t.Fatalf("chain: %v, %v", res, err)
	}
	if n := len(k.Plugin("standin").(*standin.Standin).Executions("deep").Counts); n != 9 {
		t.Errorf("a chain of depth 8 made %d executions, expected 9", n)
	}
}

// Guards against a stand-in that stops without withdrawing from its node or that does not repeat its
// announcement.
func TestAnnouncesAndWithdraws(t *testing.T) {
	node := kerneltest.FreeAddress(t)
	methods := make(chan string, 100)
	srv := &http.Server{Addr: node, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = bufio.NewReader(r.Body).ReadByte()
		methods <- r.Method + " " + r.URL.Path
	})}
	go func() { _ = srv.ListenAndServe() }()
	defer srv.Close()
	text := fmt.Sprintf(`{"instance": {"name": "u"}, "standin": {"service": "s", "listen": %q, "node": %q,
		"announce_interval": "20ms"}}`, kerneltest.FreeAddress(t), node)
	_, stop := kerneltest.Start(t, []string{"standin"}, text, false)
	for range 2 {
		if m := <-methods; m != "PUT /v1/upstream" {
			t.Fatalf("request to the node was %s, want an announcement", m)
		}
	}
	stop()
	last := ""
	for len(methods) > 0 {
		last = <-methods
	}
	if last != "DELETE /v1/upstream" {
		t.Fatalf("last request to the node was %q, want a withdrawal", last)
	}
}

func call(c *httponce.Client, address, id, fault string, depth int) (*httponce.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://s/", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(answer.HeaderID, id)
	req.Header.Set(answer.HeaderDepth, fmt.Sprint(depth))
	req.Header.Set(answer.HeaderFault, fault)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return c.Do(ctx, address, req)
}
