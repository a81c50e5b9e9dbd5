package controlstate

import (
	"encoding/json"

	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// ConfigurationRecord is the value of the configuration's key: the document in force, packed,
// and the memory of the calls that were carried out.
type ConfigurationRecord struct {
	Revision     int64        `json:"revision"`
	Packed       []byte       `json:"packed"`
	AppliedCalls AppliedCalls `json:"taken"`
	// LegacyDigests was the memory of calls in an earlier format.
	LegacyDigests []string `json:"marks,omitempty"`
}

// DecodeConfiguration reads a slot of the configuration's key; an empty one is revision 0.
func DecodeConfiguration(register keystore.Register) (ConfigurationRecord, error) {
	var record ConfigurationRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(register.Value, &record)
	if len(record.LegacyDigests) > 0 {
		record.LegacyDigests, record.AppliedCalls.ForgottenUpTo = nil, record.Revision-1
	}
	return record, err
}

func (r ConfigurationRecord) next(revision int64, document []byte, call callDigest) ConfigurationRecord {
	return ConfigurationRecord{Revision: revision, Packed: configuration.Compress(document), AppliedCalls: r.AppliedCalls.add(r.Revision, call)}
}

// ZoneRecord is the value of a zone's key. Number rises with each change.
type ZoneRecord struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// DecodeZone reads a slot of a zone's key; an empty one is a zone that was never drained.
func DecodeZone(register keystore.Register) (ZoneRecord, error) {
	var record ZoneRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	return record, json.Unmarshal(register.Value, &record)
}
