package configuration

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// ErrDigestMismatch says that a difference did not lead to the configuration that it was made for.
var ErrDigestMismatch = errors.New("configuration is another one than its digest says")

// Delta leads from one revision of a configuration to a later one.
type Delta struct {
	// Base is the revision that Patch changes, Revision the one that it leads to.
	Base     int64 `json:"base"`
	Revision int64 `json:"revision"`
	// Patch is a change as ApplyPatch takes it, of routes only.
	Patch json.RawMessage `json:"patch"`
	// Digest is that of the items that it leads to.
	Digest uint64 `json:"digest"`
}

// NewDelta returns the difference between two configurations, or false if they differ in more than routes.
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

// applyDifferences applies those of a chain of differences that lead beyond the items' revision. It returns the names of the
// routes that they write besides.
func (i *IndexedDocument) applyDifferences(chain []Delta) (*IndexedDocument, map[string]bool, error) {
	indexed, written := i, map[string]bool{}
	for _, difference := range chain {
		if difference.Revision <= indexed.revision {
			continue
		}
		if difference.Base != indexed.revision {
			return nil, nil, errors.Errorf("difference is from revision %d, not %d", difference.Base, indexed.revision)
		}
		next, err := indexed.Apply(difference.Patch)
		if err != nil {
			return nil, nil, err
		}
		if next.Digest() != difference.Digest {
			return nil, nil, ErrDigestMismatch
		}
		patch, _ := parsePatch(difference.Patch)
		routes, _ := parseNamedItems(routesSection, patch.Upsert[routesSection])
		for _, route := range routes {
			written[route.name] = true
		}
		indexed = next
	}
	return indexed, written, nil
}
