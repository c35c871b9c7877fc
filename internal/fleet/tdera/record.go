package tdera

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// Key is the key of the record of the era. It has the prefix of leases, whose keys nodes of all
// builds copy.
const Key = "held/era"

// Record is the record of the era in the store. A store without one is in the first era.
type Record struct {
	Era tarragondeal.Era `json:"era"`
	// Known is the latest revision of the era before that the writer knew of.
	Known tarragondeal.Revision `json:"known"`
	By    tarragondeal.NodeID   `json:"by"`
}

// DecodeRecord decodes a record. An empty value is the record of the first era.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	return r, eris.Wrap(json.Unmarshal(value, &r), "decode the record of the era")
}

// Next returns the record of the era after known.
func Next(known tarragondeal.Position, wall time.Time, by tarragondeal.NodeID) Record {
	era := max(tarragondeal.Era(max(wall.UnixMilli(), 0)), known.Era+1)
	return Record{Era: era, Known: known.Revision, By: by}
}
