package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_700_000_000, 0)

// holder simulates one process with its table. Messages to the backup may be lost,
// answered late or delivered after the caller has given up.
type holder struct {
	name string
	boot uint64
	seq  uint64
	t    *claimTable
}

// Guards against a call that runs twice because a release or claim of an earlier
// attempt arrives late, a holder crashes, or two processes claim the key concurrently. Guards also against
// a key that is refused although its call never ran, because a copy of the claim arrived before the claim.
func TestClaimedCallsRunOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("a key runs at most once while one holder is up", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 0))
		h := []*holder{{name: "p", boot: 1, t: newClaimTable(9, 1<<20)}, {name: "b", boot: 2, t: newClaimTable(9, 1<<20)}}
		var rec *Record
		var delayed []func() // messages in flight to the backup
		runs, crashed := 0, false
		for range 12 {
			i := 0
			if crashed { // either the backup or the restarted process is the primary
				i = r.IntN(2)
			}
			p, b := h[i], h[1-i]
			p.seq++
			c := &Record{ID: "k", Hash: "h", State: StateRunning, Primary: p.name, Boot: p.boot, Seq: p.seq}
			if result, _ := p.t.claimOwn(c, start, time.Minute); result != ResultNew {
				continue
			}
			if r.IntN(4) == 0 { // the claim is lost or delayed: the call does not run
				delayed = append(delayed, func() { b.t.claim(c, start, time.Minute) })
				p.t.release(c)
			} else if copyClaim(r, b, c); b.t.refuses(c, &rec) {
				if runs == 0 && !crashed {
					return "the claim is refused although the call never ran"
				}
				p.t.finish("k", StateUnknown, rec.Reply, start, time.Minute)
			} else if r.IntN(2) == 0 { // rejected before it ran
				p.t.release(c)
				delayed = append(delayed, func() { b.t.release(c) })
			} else {
				runs++
				p.t.finish("k", StateUnknown, nil, start, time.Minute)
			}
			for len(delayed) > 0 && r.IntN(2) == 0 {
				delayed[0]()
				delayed = delayed[1:]
			}
			if !crashed && r.IntN(5) == 0 {
				crashed = true
				h[0] = &holder{name: "p", boot: 3, t: newClaimTable(9, 1<<20)}
			}
		}
		if runs > 1 {
			return fmt.Sprintf("ran %d times", runs)
		}
		return ""
	}, gen.UInt64()))
	props.TestingRun(t)
}

// copyClaim delivers, in half of the cases, the copy of a claim that a drain or a new holder has caused.
func copyClaim(r *rand.Rand, to *holder, c *Record) {
	if r.IntN(2) == 0 {
		to.t.merge(c, start, time.Minute)
	}
}

// refuses delivers a claim and reports whether its key is known already, with the record in rec.
func (t *claimTable) refuses(c *Record, rec **Record) bool {
	result, known := t.claim(c, start, time.Minute)
	*rec = known
	return result == ResultKnown
}

// Guards against a table that grows without bound or evicts a claim in favour of a new one.
func TestFullTableRefusesNewClaims(t *testing.T) {
	c := newClaimTable(2, 10)
	claim := func(id string, now time.Time) Result {
		r, _ := c.claimOwn(&Record{ID: id, Hash: "h", Primary: "p", Seq: 1}, now, time.Minute)
		return r
	}
	if claim("a", start) != ResultNew || claim("b", start) != ResultNew || claim("c", start) != ResultFull || claim("a", start) != ResultKnown {
		t.Fatal("the third claim was not refused, or the first one was not kept")
	}
	if r := c.finish("a", StateAnswered, &Answer{Status: 200, Body: make([]byte, 11)}, start, time.Minute); r.State != StateAnswerNotStored || c.answerBytes != 0 {
		t.Fatalf("answer above the byte limit: %+v, %d bytes", r, c.answerBytes)
	}
	if c.merge(&Record{ID: "d", Hash: "h", State: StateUnknown, Primary: "q"}, start, time.Minute) {
		t.Fatal("a copied claim was added to a full table")
	}
	if claim("c", start.Add(2*time.Minute)) != ResultNew || len(c.records) != 1 {
		t.Fatalf("after the expiry: %d records", len(c.records))
	}
}

// FuzzMessages guards against messages of other processes that crash this process or
// put malformed records into its table.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"op":"claim","records":[{"id":"a\u0000b\u0000c","hash":"h","state":"running","primary":"p","boot":1,"seq":2,"ttl_ms":5}]}`))
	f.Add([]byte(`{"op":"merge","records":[{"id":"a","hash":"h","state":"answered","primary":"p","reply":{"status":200,"body":"aGk="}}]}`))
	f.Add([]byte(`{"result":"known","record":{"id":"a","hash":"h","state":"unknown","primary":"p"}}`))
	f.Add([]byte(`{"op":"status","records":[{"id":"a\u0000b\u0000c","hash":"h","state":"running","primary":"p","boot":1,"seq":2}]}`))
	f.Add([]byte(`{"op":"claim","records":[{"id":"a","hash":"h","state":"running","primary":"q","seq":1e400}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = parseReply(b)
		m, err := parseMessage(b)
		if err != nil {
			return
		}
		if r := newUnstarted().handleMessage(m, start); r.Result == ResultKnown && r.Record == nil {
			t.Fatalf("answer %+v lacks the record", r)
		}
		c := newClaimTable(4, 100)
		for i := range m.Records {
			c.merge(&m.Records[i], start, time.Minute)
			serviceOf(m.Records[i].ID)
		}
		if c.answerBytes > 100 || len(c.records) > 4 {
			t.Fatalf("%d records with %d bytes", len(c.records), c.answerBytes)
		}
		if _, err := json.Marshal(m); err != nil {
			t.Fatal(err)
		}
	})
}
