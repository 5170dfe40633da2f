package resource

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	testTemplate = `{"name":"t","parameters":{"host":{"type":"string","max":40},"n":{"type":"int","default":5,"min":1,"max":9},
		"on":{"type":"bool","default":false},"items":{"type":"list","default":["x"],"max":300}},
		"clusters":[{"name":"c","service":"catalogo"}],
		"routes":[{"name":"${item}","for_each":"items","host":"${host}","path_prefix":"/${item}","cluster":"c","max_attempts":"${n}","idempotent":"${on}"}]}`
	teamFormat = `{"name":"a","organisation":"kranjc","template":"t","parameters":{%s}}`
)

func decodeAndExpand(template, team string) (*Expansion, error) {
	t, err := DecodeTemplate([]byte(template))
	if err != nil {
		return nil, err
	}
	a, err := DecodeTeam([]byte(team))
	if err != nil {
		return nil, err
	}
	return Expand(t, a)
}

// Guards against parameters that are not substituted and defaults that are not applied.
func TestExpand(t *testing.T) {
	x, err := decodeAndExpand(testTemplate, fmt.Sprintf(teamFormat, `"host":"Q.Example","items":["x","y"],"n":2`))
	if err != nil {
		t.Fatal(err)
	}
	want := Route{
		Name: "a/y", Organisation: "kranjc", Team: "a", Match: Match{Host: "q.example", PathPrefix: "/y"}, Cluster: "a/c",
		TimeoutMillis: DefaultTimeoutMillis, MaxAttempts: 2,
	}
	if len(x.Routes) != 2 || !reflect.DeepEqual(*x.Routes[1], want) {
		t.Errorf("routes: %+v, want %+v", *x.Routes[1], want)
	}
	cluster := Cluster{
		Name: "a/c", Organisation: "kranjc", Team: "a", Service: "catalogo", RetryBudgetPercent: DefaultRetryBudgetPercent,
		SlowStartMillis: DefaultSlowStartMillis, EjectAfter: DefaultEjectAfter,
	}
	if len(x.Clusters) != 1 || *x.Clusters[0] != cluster {
		t.Errorf("clusters: %+v, want %+v", *x.Clusters[0], cluster)
	}
}

// Guards against invalid input that is accepted, or whose error does not name the field.
func TestErrorsNameTheField(t *testing.T) {
	items := make([]string, 400)
	for i := range items {
		items[i] = fmt.Sprintf(`"i%d"`, i)
	}
	teamBody := func(s string) string { return fmt.Sprintf(teamFormat, s) }
	validTeam := teamBody(`"host":"q.example"`)
	editTemplate := func(old, replacement string) string {
		if !strings.Contains(testTemplate, old) {
			t.Fatalf("template lacks %q", old)
		}
		return strings.Replace(testTemplate, old, replacement, 1)
	}
	for _, tc := range []struct{ name, template, team, field, reason string }{
		{"missing parameter", testTemplate, teamBody(``), "parameters/host", "required"},
		{"unknown parameter", testTemplate, teamBody(`"host":"q","z":1`), "parameters/z", "no such parameter"},
		{"wrong type", testTemplate, teamBody(`"host":7`), "parameters/host", "string"},
		{"fraction", testTemplate, teamBody(`"host":"q","n":1.5`), "parameters/n", "whole number"},
		{"above bound", testTemplate, teamBody(`"host":"q","n":10`), "parameters/n", "above 9"},
		{"text too long", testTemplate, teamBody(`"host":"` + strings.Repeat("q", 41) + `"`), "parameters/host", "above 40"},
		{"too many items", testTemplate, teamBody(`"host":"q","items":[` + strings.Join(items, ",") + `]`), "parameters/items", "limit"},
		{"duplicate item", testTemplate, teamBody(`"host":"q","items":["x","x"]`), "parameters/items/1", "twice"},
		{"item is not a name", testTemplate, teamBody(`"host":"q","items":["../x"]`), "routes/0/name", "not a name"},
		{"host with port", testTemplate, teamBody(`"host":"q.example:80"`), "routes/0/host", "host name"},
		{"control character", testTemplate, teamBody(`"host":"q\u0000"`), "parameters/host", "control"},
		{"repeated field", testTemplate, teamBody(`"host":"q","host":"r"`), "parameters/host", "duplicate"},
		{"bad UTF-8", testTemplate, teamBody("\"host\":\"\xff\""), "parameters/host", "UTF-8"},
		{"unknown field", testTemplate, strings.Replace(validTeam, `"name"`, `"nam"`, 1), "nam", "unknown"},
		{"deep nesting", testTemplate, teamBody(`"host":` + strings.Repeat("[", 50) + strings.Repeat("]", 50)), "parameters/host" + strings.Repeat("/0", 10), "nesting"},
		{"body too large", testTemplate, strings.Repeat(" ", MaxBodyBytes) + validTeam, "", "limit"},
		{"unknown cluster", editTemplate(`"cluster":"c"`, `"cluster":"d"`), validTeam, "routes/0/cluster", "no cluster"},
		{"cluster of another team", editTemplate(`"cluster":"c"`, `"cluster":"b/c"`), validTeam, "routes/0/cluster", "not a name"},
		{"undeclared reference", editTemplate(`${n}`, `${m}`), validTeam, "routes/0/max_attempts", "not declared"},
		{"unclosed reference", editTemplate(`${n}`, `${n`), validTeam, "routes/0/max_attempts", "reference"},
		{"list as text", editTemplate(`"${host}"`, `"${items}"`), validTeam, "routes/0/host", "for_each"},
		{"item without for_each", editTemplate(`"service":"catalogo"`, `"service":"${item}"`), validTeam, "clusters/0/service", "for_each"},
		{"for_each over string parameter", editTemplate(`"for_each":"items"`, `"for_each":"host"`), validTeam, "routes/0/for_each", "list"},
		{"number out of bounds", editTemplate(`"${n}"`, `"11"`), validTeam, "routes/0/max_attempts", "1..10"},
		{"no host", editTemplate(`"host":"${host}"`, `"host":""`), validTeam, "routes/0/host", "empty"},
		{"parent path segment", editTemplate(`"/${item}"`, `"/a/../${item}"`), validTeam, "routes/0/path_prefix", "segment"},
		{"duplicate match", editTemplate(`"/${item}"`, `"/"`), teamBody(`"host":"q","items":["x","y"]`), "routes/0", "same requests"},
		{"reserved name", editTemplate(`"on":{`, `"team":{"type":"int"},"on":{`), validTeam, "parameters/team", "reserved"},
		{"bad default", editTemplate(`"default":5`, `"default":0`), validTeam, "parameters/n/default", "below 1"},
		{"min above max", editTemplate(`"min":1`, `"min":10`), validTeam, "parameters/n/min", "above max"},
	} {
		x, err := decodeAndExpand(tc.template, tc.team)
		if err == nil {
			t.Errorf("%s: accepted as %+v", tc.name, x)
			continue
		}
		fe, ok := err.(*FieldError)
		if !ok || fe.Field != tc.field || !strings.Contains(fe.Reason, tc.reason) {
			t.Errorf("%s: %v, want field %q with %q", tc.name, err, tc.field, tc.reason)
		}
	}
}

// Guards against a small body whose expansion has no size limit.
func TestExpansionIsBounded(t *testing.T) {
	items := make([]string, MaxListItems)
	for i := range items {
		items[i] = fmt.Sprintf(`"i%d"`, i)
	}
	team := fmt.Sprintf(teamFormat, `"items":[`+strings.Join(items, ",")+`]`)
	routes := make([]string, MaxRoutes)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r%d-${item}","for_each":"items","host":"h%d","path_prefix":"/${item}","cluster":"c"}`, i, i)
	}
	template := `{"name":"t","parameters":{"items":{"type":"list"}},"clusters":[{"name":"c","service":"s"}],"routes":[` + strings.Join(routes, ",") + `]}`
	if _, err := decodeAndExpand(template, team); err == nil || !strings.Contains(err.Error(), "more than 512 resources") {
		t.Errorf("many resources: %v", err)
	}
	deep := strings.Repeat("/ab", 160)
	template = strings.ReplaceAll(template, `"path_prefix":"/${item}"`, `"path_prefix":"`+deep+`/${item}"`)
	template = template[:strings.Index(template, `,{"name":"r2-`)] + "]}"
	if _, err := decodeAndExpand(template, team); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("many bytes: %v", err)
	}
	long := `{"name":"t","parameters":{"p":{"type":"string"}},"clusters":[{"name":"` + strings.Repeat("${p}", 100) + `","service":"s"}]}`
	if _, err := decodeAndExpand(long, fmt.Sprintf(teamFormat, `"p":"`+strings.Repeat("x", 500)+`"`)); err == nil || !strings.Contains(err.Error(), "expands to more") {
		t.Errorf("long text: %v", err)
	}
}

// checkExpansion fails the test when an expansion violates an invariant that nodes rely on.
func checkExpansion(t *testing.T, x *Expansion, err error) {
	if err != nil {
		if _, ok := err.(*FieldError); !ok || len(err.Error()) > 2000 || !utf8.ValidString(err.Error()) {
			t.Fatalf("not a short FieldError in valid UTF-8: %q", err)
		}
		return
	}
	if len(x.Routes)+len(x.Clusters) > MaxTeamResources {
		t.Fatalf("%d resources", len(x.Routes)+len(x.Clusters))
	}
	held := map[string]bool{}
	for _, c := range x.Clusters {
		held[c.Name] = true
		if err := (&Resource{Cluster: c}).Validate(); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range x.Routes {
		if !held[r.Cluster] {
			t.Fatalf("route %q refers to cluster %q", r.Name, r.Cluster)
		}
		if err := (&Resource{Route: r}).Validate(); err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzTemplate guards against templates that crash the expansion or exceed its limits.
func FuzzTemplate(f *testing.F) {
	f.Add([]byte(testTemplate))
	files, _ := filepath.Glob("../../examples/templates/*.json")
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		if text, err = hujson.Minimize(text); err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	team, err := DecodeTeam(fmt.Appendf(nil, teamFormat, `"host":"q.example"`))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		template, err := DecodeTemplate(body)
		if err != nil {
			checkExpansion(t, nil, err)
			return
		}
		x, err := Expand(template, team)
		checkExpansion(t, x, err)
		again, err2 := Expand(template, team)
		if !reflect.DeepEqual(x, again) || (err == nil) != (err2 == nil) {
			t.Fatal("two expansions differ")
		}
	})
}

// FuzzParameters guards against parameters of teams that crash the expansion or exceed
// its limits.
func FuzzParameters(f *testing.F) {
	f.Add([]byte(`"host":"q.example"`))
	f.Add([]byte(`"host":"q.example","items":["x","y"],"n":3,"on":true`))
	template, err := DecodeTemplate([]byte(testTemplate))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, parameters []byte) {
		team, err := DecodeTeam(fmt.Appendf(nil, teamFormat, parameters))
		if err != nil {
			checkExpansion(t, nil, err)
			return
		}
		x, err := Expand(template, team)
		checkExpansion(t, x, err)
	})
}
