package controlstate

import (
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// ConfigurationRecord is the stored value of the configuration's key. The JSON names are a storage format.
type ConfigurationRecord struct {
	Revision int64 `json:"revision"`
	// CompressedDocument is the current document in compressed form.
	CompressedDocument []byte `json:"packed"`
	// Difference is the difference from the previous revision, if both differ only in routes and its patch is smaller than
	// CompressedDocument.
	Difference *configuration.Delta `json:"difference,omitempty"`
	// AppliedCalls is the log of applied calls.
	AppliedCalls AppliedCalls `json:"taken"`
	// LegacyDigests is the log of applied calls in an earlier format. It is read but never written.
	LegacyDigests []string `json:"marks,omitempty"`
}

// DecodeConfiguration decodes the register of the configuration's key. An empty register is a record of revision 0.
func DecodeConfiguration(register keystore.Register) (ConfigurationRecord, error) {
	var record ConfigurationRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(register.Value, &record)
	if len(record.LegacyDigests) > 0 {
		// It can no longer be determined which calls these digests identify, so all of them count as evicted.
		record.LegacyDigests = nil
		record.AppliedCalls.EvictedUpTo = record.Revision - 1
	}
	return record, err
}

// check returns nil if a call may be applied to the record. It returns errAlreadyApplied if the call was applied before, a
// rejection if another revision is current, and an error that leaves the outcome open if the call is older than the log of
// applied calls: it may have been applied, so a rejection could be wrong.
func (r ConfigurationRecord) check(baseRevision int64, call callDigest) error {
	switch {
	case r.AppliedCalls.contains(call):
		return errAlreadyApplied
	case baseRevision == r.Revision:
		return nil
	case r.AppliedCalls.mayHaveEvicted(baseRevision):
		return apierror.New(
			apierror.CallTooOld,
			"calls that built on versions up to %d are not remembered",
			r.AppliedCalls.EvictedUpTo,
		)
	}
	return apierror.New(apierror.VersionConflict, "revision %d is current", r.Revision)
}

// Outcome returns the final outcome of a call whose base revision is below that of the record, which must be committed: nil if
// the call was applied, an apierror.Error if it is rejected. Later records cannot change the outcome, because revisions only
// increase and a call applies to exactly one of them. Outcome returns false if the record does not decide the call.
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

// next returns the record that a call writes.
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

// ZoneRecord is the stored value of a zone's key. Version increases with each change.
type ZoneRecord struct {
	Version uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

// DecodeZone decodes the register of a zone's key. An empty register is a zone that was never drained.
func DecodeZone(register keystore.Register) (ZoneRecord, error) {
	var record ZoneRecord
	if len(register.Value) == 0 {
		return record, nil
	}
	return record, json.Unmarshal(register.Value, &record)
}
