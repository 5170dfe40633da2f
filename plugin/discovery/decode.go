package discovery

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// recordsEnvelope is the encoding of peerapi.Records whose records are decoded one by one.
type recordsEnvelope struct {
	Instance         string           `json:"instance"`
	AvailabilityZone string           `json:"az"`
	Epoch            uint64           `json:"epoch"`
	Seq              uint64           `json:"seq"`
	Version          resource.Version `json:"version"`
	TableComplete    bool             `json:"settled"`
	Records          []jsontext.Value `json:"records"`
	Others           []jsontext.Value `json:"others"`
}

// skippedRecords counts the records of a message that were left out, with the error of the first one.
type skippedRecords struct {
	count int
	cause error
}

// decodeRecords decodes a message with endpoint records. Records that cannot be decoded, or that no
// endpoint can have, are left out, so that one of them does not keep the others from being followed.
// Unknown fields are ignored, since a later version of the sender may have added them.
func decodeRecords(raw []byte) (*peerapi.Records, skippedRecords, error) {
	var skipped skippedRecords
	m := &peerapi.Records{}
	if json.Unmarshal(raw, m) != nil {
		var e recordsEnvelope
		if err := json.Unmarshal(raw, &e, jsontext.AllowDuplicateNames(true)); err != nil {
			return nil, skipped, err
		}
		*m = peerapi.Records{
			Instance: e.Instance, AvailabilityZone: e.AvailabilityZone, Epoch: e.Epoch, Seq: e.Seq, Version: e.Version, TableComplete: e.TableComplete,
			Records: skipped.decode(e.Records), Others: skipped.decode(e.Others),
		}
	}
	m.Records, m.Others = skipped.check(m.Records), skipped.check(m.Others)
	return m, skipped, nil
}

func (s *skippedRecords) add(err error) {
	s.count++
	if s.cause == nil {
		s.cause = err
	}
}

func (s *skippedRecords) decode(values []jsontext.Value) []peerapi.Record {
	var out []peerapi.Record
	for _, v := range values {
		var r peerapi.Record
		if err := json.Unmarshal(v, &r); err != nil {
			s.add(err)
			continue
		}
		out = append(out, r)
	}
	return out
}

// check returns the valid records, in place.
func (s *skippedRecords) check(records []peerapi.Record) []peerapi.Record {
	kept := records[:0]
	for _, r := range records {
		a := r.Announcement()
		if err := a.Check(); err != nil {
			s.add(err)
			continue
		}
		kept = append(kept, r)
	}
	return kept
}
