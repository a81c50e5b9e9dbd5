package controlstate

import (
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// ConfigurationRecord is the value of the configuration's key. The JSON names are a storage format.
type ConfigurationRecord struct {
	Revision int64 `json:"revision"`
	// CompressedDocument is the document in force, compressed.
	CompressedDocument []byte `json:"packed"`
	// Difference leads from the revision before to this one, if they differ in routes only and it is smaller than the document.
	Difference *configuration.Difference `json:"difference,omitempty"`
	// AppliedCalls remembers the calls that were carried out.
	AppliedCalls AppliedCalls `json:"taken"`
	// LegacyDigests remembered the calls in an earlier format. It is read, never written.
	LegacyDigests []string `json:"marks,omitempty"`
}

// DecodeConfiguration reads a register of the configuration's key; an empty one is revision 0.
func DecodeConfiguration(register keystore.Register) (ConfigurationRecord, error) {
	var record ConfigurationRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(register.Value, &record)
	if len(record.LegacyDigests) > 0 {
		// Which calls these digests stand for can no longer be determined, so all of them count as forgotten.
		record.LegacyDigests = nil
		record.AppliedCalls.EvictedUpTo = record.Revision - 1
	}
	return record, err
}

// check reports whether a call may build on the record. It returns errAlreadyApplied if the call was carried out, a
// rejection if another revision is in force, and an error that promises neither if the call is older than
// the memory of calls: it may have been applied, so that a rejection could be wrong.
func (r ConfigurationRecord) check(baseRevision int64, call callDigest) error {
	switch {
	case r.AppliedCalls.contains(call):
		return errAlreadyApplied
	case baseRevision == r.Revision:
		return nil
	case r.AppliedCalls.mayHaveForgotten(baseRevision):
		return apierror.New(
			apierror.CallTooOld,
			"calls that built on versions up to %d are not remembered",
			r.AppliedCalls.EvictedUpTo,
		)
	}
	return apierror.New(apierror.VersionConflict, "revision %d is current", r.Revision)
}

// Outcome returns what became of a call that builds on an earlier revision than that of the record, which must be a committed one:
// nil for one that was carried out, an apierror.Error for one that is rejected. Later records can't change that, since revisions
// only rise and each call builds on one of them. It returns false for a call that the record leaves open.
func (r ConfigurationRecord) Outcome(baseRevision int64, method string, body []byte) (decided bool, err error) {
	if baseRevision >= r.Revision {
		return false, nil
	}
	err = r.check(baseRevision, newCallDigest(method, baseRevision, body))
	if errors.Is(err, errAlreadyApplied) {
		return true, nil
	}
	return err != nil, err
}

// next is the record that a call writes.
func (r ConfigurationRecord) next(document document, call callDigest) ConfigurationRecord {
	next := ConfigurationRecord{
		Revision:           document.revision,
		CompressedDocument: configuration.Compress(document.content),
		AppliedCalls:       r.AppliedCalls.add(r.Revision, call),
	}
	if document.difference != nil && len(document.difference.Patch) < len(next.CompressedDocument) {
		next.Difference = document.difference
	}
	return next
}

// ZoneRecord is the value of a zone's key. Version rises with each change.
type ZoneRecord struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// DecodeZone reads a register of a zone's key; an empty one is a zone that was never drained.
func DecodeZone(register keystore.Register) (ZoneRecord, error) {
	var record ZoneRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	return record, json.Unmarshal(register.Value, &record)
}
