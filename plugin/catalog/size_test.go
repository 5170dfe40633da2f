package catalog

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// The design capacity: 520 services and 2,080 resources of 130 teams.
const (
	capacityTeams        = 130
	servicesPerTeam      = 4
	capacityChanges      = 10_000
	capacityTemplateBody = `{"name":"std","parameters":{"services":{"type":"list"},"domain":{"type":"string"},"timeout":{"type":"int","default":2000}},
		"clusters":[{"name":"${item}","for_each":"services","service":"${item}"}],
		"routes":[
		{"name":"${item}-lookup","for_each":"services","host":"${item}.${domain}","path_prefix":"/","methods":["GET","HEAD"],"cluster":"${item}","timeout_ms":"${timeout}","idempotent":"true"},
		{"name":"${item}-change","for_each":"services","host":"${item}.${domain}","path_prefix":"/","methods":["POST","PUT"],"cluster":"${item}"},
		{"name":"${item}-admin","for_each":"services","host":"${item}.${domain}","path_prefix":"/admin","cluster":"${item}"}]}`
)

func capacityTeamBody(i, timeout int) (name, body string) {
	serviceNames := make([]string, servicesPerTeam)
	for j := range serviceNames {
		serviceNames[j] = fmt.Sprintf(`"service-%d"`, i*servicesPerTeam+j)
	}
	name = fmt.Sprintf("team-%d", i)
	return name, fmt.Sprintf(`{"name":%q,"organisation":%q,"template":"std","parameters":{"services":[%s],"domain":"team-%d.example","timeout":%d}}`,
		name, organisations[i%2], strings.Join(serviceNames, ","), i, timeout)
}

// newCapacityState returns a state at the design capacity after capacityChanges changes.
func newCapacityState(tb testing.TB) *state {
	s := newState()
	n := 0
	mustApply := func(kind change.Kind, action change.Action, name, organisation, body string) {
		n++
		c := &change.Change{
			ID: fmt.Sprintf("3f2b8c0de4a15f6790b1c2d3e4%06d", n), Operator: "op", Organisation: organisation,
			Roles: []string{change.RoleTeam, change.RoleTemplate}, Kind: kind, Action: action, Name: name, Body: []byte(body),
		}
		if action == change.ActionRevise {
			c.ExpectedRevision = s.revision(c)
		}
		if out := s.apply(c, 1796383200000); out.State != change.StateAccepted {
			tb.Fatalf("%+v", out)
		}
	}
	mustApply(change.KindTemplate, change.ActionPut, "std", "kranjc", capacityTemplateBody)
	for i := range capacityTeams {
		name, body := capacityTeamBody(i, 2000)
		mustApply(change.KindTeam, change.ActionPut, name, organisations[i%2], body)
	}
	for n < capacityChanges {
		name, body := capacityTeamBody(n%capacityTeams, n)
		mustApply(change.KindTeam, change.ActionRevise, name, organisations[(n%capacityTeams)%2], body)
	}
	return s
}

func measureHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacity measures changes, snapshots, restores and deltas at the design capacity.
func BenchmarkCapacity(b *testing.B) {
	before, n := measureHeapBytes(), 0
	s := newCapacityState(b)
	stateBytes, data := measureHeapBytes()-before, []byte(s.mustEncode())
	apply := func(b *testing.B, kind change.Kind, body func() (string, string)) {
		for b.Loop() {
			n++
			name, text := body()
			c := &change.Change{
				ID: fmt.Sprintf("bench-%d", n), Operator: "op", Organisation: organisations[0], Roles: []string{"team", "template"},
				Kind: kind, Action: change.ActionRevise, Name: name, Body: []byte(text),
			}
			c.ExpectedRevision = s.revision(c)
			if out := s.apply(c, 1); out.State != change.StateAccepted {
				b.Fatalf("%+v", out)
			}
		}
	}
	b.Run("revise-team", func(b *testing.B) {
		b.ReportMetric(float64(len(s.resources)), "resources")
		apply(b, change.KindTeam, func() (string, string) { return capacityTeamBody(n%capacityTeams/2*2, n%50000+1) })
	})
	b.Run("revise-template-of-all-teams", func(b *testing.B) {
		apply(b, change.KindTemplate, func() (string, string) {
			return "std", strings.Replace(capacityTemplateBody, `"default":2000`, fmt.Sprintf(`"default":%d`, n), 1)
		})
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			s.mustEncode()
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
		b.ReportMetric(float64(stateBytes), "heap-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if _, err := decodeState(data); err != nil {
				b.Fatal(err)
			}
		}
	})
	benchmarkDelta(b, newCapacityState(b))
}

func benchmarkDelta(b *testing.B, s *state) {
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		b.Fatal(err)
	}
	ownServices := map[string]bool{}
	for _, name := range []string{"service-0", "service-1", "service-2", "service-3"} {
		ownServices[name] = true
	}
	// The newest version that changed team-0, whose services the node uses.
	lastVersion := resource.Version(s.teams["team-0"].Revision)
	s.version, s.history.steps = lastVersion, s.history.steps[:len(s.history.steps)-int(s.version-lastVersion)]
	for _, tc := range []struct {
		name string
		from resource.Version
	}{{"delta-one-team-change", lastVersion - 1}, {"delta-idle", lastVersion}, {"full-set", 0}} {
		b.Run(tc.name, func(b *testing.B) {
			var d resource.Delta
			for b.Loop() {
				d = s.delta(tc.from, ownServices)
			}
			text, err := json.Marshal(d)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(text)), "json-bytes")
			b.ReportMetric(float64(len(enc.EncodeAll(text, nil))), "zstd-bytes")
			b.ReportMetric(float64(len(d.Upserts)), "upserts")
		})
	}
}

// Guards against restoring a damaged or malicious snapshot.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := newState()
	for i, c := range []*change.Change{
		{Kind: change.KindTemplate, Name: "std", Organisation: "kranjc", Body: []byte(capacityTemplateBody)},
		{Kind: change.KindTeam, Name: "team-0", Organisation: "tacto-norte"}, {Kind: change.KindTeam, Name: "team-1", Organisation: "kranjc"},
	} {
		c.ID, c.Operator, c.Action, c.Roles = fmt.Sprintf("c%d", i), "op", change.ActionPut, []string{"team", "template"}
		if i > 0 {
			_, body := capacityTeamBody(i-1, 5)
			c.Body = []byte(body)
		}
		if out := s.apply(c, 1); out.State != change.StateAccepted {
			t.Fatalf("%+v", out)
		}
	}
	good := s.mustEncode()
	if _, err := decodeState([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, old, with, want string }{
		{"format", `"format":1`, `"format":2`, "format"},
		{"version below a resource", `"version":3`, `"version":2`, "outside 1..2"},
		{"unknown field", `"format":1`, `"format":1,"x":1`, "unknown"},
		{"repeated field", `"format":1`, `"format":1,"format":1`, "duplicate"},
		{"team without its template", `"template":"std"`, `"template":"other"`, "missing"},
		{"route without its cluster", `"cluster":"team-0/service-0"`, `"cluster":"team-0/service-9"`, "does not have"},
		{"cluster of another team", `"cluster":"team-1/service-4"`, `"cluster":"team-0/service-0"`, "does not have"},
		{"resource of another team", `"name":"team-0/service-0","organisation"`, `"name":"team-1/service-0","organisation"`, "belong"},
		{"host of two organisations", `"host":"service-4.team-1.example"`, `"host":"service-0.team-0.example"`, "two organisations"},
		{"number out of bounds", `"max_attempts":3`, `"max_attempts":99`, "bounds"},
		{"gap in history", `"steps":[{"v":1}`, `"steps":[{"v":7}`, "step of history"},
		{"too many steps", `"steps":[`, `"steps":[{"v":0},`, "too many"},
		{"gap in records", `"seq":2`, `"seq":9`, "number 9"},
		{"two answers", `"id":"c2"`, `"id":"c1"`, "two answers"},
		{"answer without version", `"state":"accepted","version":2`, `"state":"accepted"`, "version 0"},
		{"record of the future", `"state":"accepted","version":2`, `"state":"accepted","version":4`, "version 4"},
		{"truncated", `]}`, ``, ""},
	} {
		if !strings.Contains(good, tc.old) {
			t.Fatalf("%s: snapshot lacks %s", tc.name, tc.old)
		}
		_, err := decodeState([]byte(strings.Replace(good, tc.old, tc.with, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v, want %q", tc.name, err, tc.want)
		}
	}
}
