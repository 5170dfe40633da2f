package discovery

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

func validRecord(i int) string {
	b, err := json.Marshal(peerapi.Record{Owner: "c1", Endpoint: resource.Endpoint{
		Node: fmt.Sprintf("n%d", i), Service: "s", Incarnation: 1, Address: "10.0.0.1:7480", Slots: 8, State: resource.StateReady,
	}})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// oddRecords are records that another writer may leave among valid ones.
var oddRecords = map[string]string{
	"nested":        `{"e":` + strings.Repeat(`[`, 5000) + strings.Repeat(`]`, 5000) + `}`,
	"large number":  `{"e":{"node":"x","svc":"s","inc":1e400,"st":"ready"},"o":"c1"}`,
	"port":          `{"e":{"node":"x","svc":"s","inc":1,"addr":"10.0.0.1:70000","st":"ready"},"o":"c1"}`,
	"negative port": `{"e":{"node":"x","svc":"s","inc":1,"addr":"10.0.0.1:-1","st":"ready"},"o":"c1"}`,
	"long name":     `{"e":{"node":"x","svc":"` + strings.Repeat("s", 1<<20) + `","inc":1,"st":"ready"},"o":"c1"}`,
	"wrong type":    `{"e":{"node":7,"svc":[],"st":{}},"o":"c1"}`,
	"slots":         `{"e":{"node":"x","svc":"s","inc":1,"slots":-9,"st":"ready"},"o":"c1"}`,
	"state":         `{"e":{"node":"x","svc":"s","inc":1,"st":"perhaps"},"o":"c1"}`,
	"no node":       `{"e":{},"o":"c1"}`,
	"null":          `null`,
	"text":          `"x"`,
	"double field":  `{"e":{"node":"x","node":"y","svc":"s","inc":1,"st":"ready"},"o":"c1"}`,
}

// Guards against one odd record among those of the endpoints that keeps an instance from following the
// others, in each position and in each of the two lists, and that ends its process.
func TestOddRecordIsSkippedAndTheOthersAreKept(t *testing.T) {
	for name, odd := range oddRecords {
		for at := range 3 {
			for _, list := range []string{"records", "others"} {
				records := []string{validRecord(0), validRecord(1), validRecord(2)}
				records[at] = odd
				raw := fmt.Sprintf(`{"instance":"c1","az":"z","epoch":3,"seq":9,"version":4,"settled":true,%q:[%s]}`, list, strings.Join(records, ","))
				m, skipped, err := decodeRecords([]byte(raw))
				if err != nil {
					t.Errorf("%s: %v", name, err)
					continue
				}
				kept := len(m.Records) + len(m.Others)
				if kept != 2 || skipped.count != 1 || skipped.cause == nil || m.Seq != 9 || !m.TableComplete || m.Instance != "c1" {
					t.Errorf("%s at %d: %d records kept, %d skipped (%.100v)", name, at, kept, skipped.count, skipped.cause)
				}
			}
		}
	}
}

// FuzzDecodeRecords puts any bytes between two valid records.
func FuzzDecodeRecords(f *testing.F) {
	for _, odd := range oddRecords {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, odd []byte) {
		raw := []byte(`{"instance":"c1","epoch":1,"seq":1,"version":1,"records":[` + validRecord(0) + "," + string(odd) + "," + validRecord(1) + `]}`)
		m, _, err := decodeRecords(raw)
		if err != nil {
			return // not a message
		}
		for _, r := range m.Records {
			if err := r.Endpoint.Check(); err != nil {
				t.Fatalf("record kept: %v", err)
			}
		}
		if n := len(m.Records); n > 0 && m.Records[0].Endpoint.Node != "n0" && string(odd) != "" {
			t.Fatalf("first record is that of node %q", m.Records[0].Endpoint.Node)
		}
	})
}
