package configuration

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Follower follows the revisions of a configuration, by differences where it can, and keeps the table of the newest. It is not
// safe for concurrent use; the tables are.
type Follower struct {
	table *Table
	// tenants are those of the newest configuration, with their keys.
	tenants []Tenant
	indexed *IndexedDocument
	// document is what the items are divided from once a difference comes, nil if they are divided.
	document []byte
	// refused says that a difference could not be applied; the next configuration must come whole.
	refused bool
}

// Table is that of the newest configuration, nil before the first.
func (f *Follower) Table() *Table { return f.table }

// Revision is that of the newest configuration, 0 before the first.
func (f *Follower) Revision() int64 {
	if f.table == nil {
		return 0
	}
	return f.table.Configuration.Revision
}

// Tenants are those of the newest configuration, with their keys.
func (f *Follower) Tenants() []Tenant { return f.tenants }

// AcceptsDeltas says whether a difference from the newest configuration may be applied.
func (f *Follower) AcceptsDeltas() bool { return f.table != nil && !f.refused }

// Replace adopts a whole configuration, as Compress packed it. After an error the one before stays.
func (f *Follower) Replace(packed []byte) error {
	document, err := Decompress(packed)
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	decoded, err := Decode(document)
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	*f = Follower{table: NewTable(decoded, nil), tenants: decoded.Tenants, document: document}
	return nil
}

// Apply adopts a chain of differences. Those that lead to revisions adopted before are passed over. After an error the
// configuration stays as it was, and none is taken until Replace.
func (f *Follower) Apply(chain []Delta) error {
	if err := f.divide(); err != nil {
		f.refused = true
		return err
	}
	indexed, written, err := f.indexed.applyDifferences(chain)
	if err != nil {
		f.refused = true
		return err
	}
	routes, err := f.routesOf(indexed, written)
	if err != nil {
		f.refused = true
		return err
	}
	f.indexed, f.table = indexed, f.table.withRoutes(indexed.revision, routes)
	return nil
}

// Document renders the newest configuration.
func (f *Follower) Document() []byte {
	if f.indexed != nil {
		return f.indexed.Document()
	}
	return f.document
}

// divide divides the document if that hasn't been done. Most nodes never get a difference for their first configuration, and
// all get that one at once.
func (f *Follower) divide() error {
	if f.indexed != nil {
		return nil
	}
	decoded, err := Decode(f.document)
	if err != nil {
		return err
	}
	indexed, err := IndexDocument(f.document, decoded)
	if err != nil {
		return err
	}
	f.indexed, f.document = indexed, nil
	return nil
}

// routesOf returns the routes of items in their order: those that were written are decoded, all others are in the table.
func (f *Follower) routesOf(indexed *IndexedDocument, written map[string]bool) ([]Route, error) {
	present := make(map[string]int, len(f.table.Configuration.Routes))
	for index := range f.table.Configuration.Routes {
		present[f.table.Configuration.Routes[index].Name] = index
	}
	routes := make([]Route, 0, indexed.routes.Len())
	var failure error
	indexed.routes.Ascend(func(item routeItem) bool {
		index, known := present[item.name]
		if known && !written[item.name] {
			routes = append(routes, f.table.Configuration.Routes[index])
			return true
		}
		var route Route
		failure = json.Unmarshal(item.content, &route)
		routes = append(routes, route)
		return failure == nil
	})
	return routes, failure
}
