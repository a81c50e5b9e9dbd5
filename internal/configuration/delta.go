package configuration

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// ErrDigestMismatch is returned if applying a delta does not result in the configuration that it was created for.
var ErrDigestMismatch = errors.New("configuration digest mismatch after applying delta")

// Delta is the difference between a revision of a configuration and a later one.
type Delta struct {
	// Base is the revision to which Patch applies, Revision the resulting one.
	Base     int64 `json:"base"`
	Revision int64 `json:"revision"`
	// Patch is a patch as for ApplyPatch that changes only routes.
	Patch json.RawMessage `json:"patch"`
	// Digest is the digest of the resulting IndexedDocument.
	Digest uint64 `json:"digest"`
}

// NewDelta returns the delta between two configurations, or false if they differ in more than routes.
func NewDelta(base, next *IndexedDocument) (Delta, bool) {
	if !maps.EqualFunc(base.members, next.members, func(left, right json.RawMessage) bool { return bytes.Equal(left, right) }) {
		return Delta{}, false
	}
	patch := Patch{}
	patch.Revision, _ = json.Marshal(next.revision)
	var upserts []json.RawMessage
	next.routes.Ascend(func(route routeItem) bool {
		if previous, known := base.byName.Get(route); !known || !bytes.Equal(previous.content, route.content) {
			upserts = append(upserts, route.content)
		}
		return true
	})
	var removed []string
	base.routes.Ascend(func(route routeItem) bool {
		if !next.byName.Has(route) {
			removed = append(removed, route.name)
		}
		return true
	})
	if len(upserts) > 0 || len(removed) == 0 {
		list, _ := json.Marshal(append([]json.RawMessage{}, upserts...))
		patch.Upsert = map[string]json.RawMessage{routesSection: list}
	}
	if len(removed) > 0 {
		patch.Remove = map[string][]string{routesSection: removed}
	}
	content, err := json.Marshal(patch)
	return Delta{Base: base.revision, Revision: next.revision, Patch: content, Digest: next.Digest()}, err == nil
}

// applyDeltas applies the deltas of a chain whose revision is above the document's. It also returns the names of the routes
// that they write.
func (i *IndexedDocument) applyDeltas(chain []Delta) (*IndexedDocument, map[string]bool, error) {
	indexed, written := i, map[string]bool{}
	for _, delta := range chain {
		if delta.Revision <= indexed.revision {
			continue
		}
		if delta.Base != indexed.revision {
			return nil, nil, errors.Errorf("delta is based on revision %d, not %d", delta.Base, indexed.revision)
		}
		next, err := indexed.Apply(delta.Patch)
		if err != nil {
			return nil, nil, err
		}
		if next.Digest() != delta.Digest {
			return nil, nil, ErrDigestMismatch
		}
		patch, _ := parsePatch(delta.Patch)
		routes, _ := parseNamedItems(routesSection, patch.Upsert[routesSection])
		for _, route := range routes {
			written[route.name] = true
		}
		indexed = next
	}
	return indexed, written, nil
}
