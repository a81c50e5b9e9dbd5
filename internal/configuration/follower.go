package configuration

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Follower tracks the newest revision of a configuration, from full documents or deltas, and holds its table. It is not safe
// for concurrent use; the tables are.
type Follower struct {
	table *Table
	// tenants are the tenants of the newest configuration, with their keys.
	tenants []Tenant
	indexed *IndexedDocument
	// document is the document from which indexed is built when the first delta arrives, nil afterwards.
	document []byte
	// needsFull is set if a delta could not be applied; the next configuration must be a full one.
	needsFull bool
}

// Table returns the table of the newest configuration, nil before the first.
func (f *Follower) Table() *Table { return f.table }

// Revision returns the revision of the newest configuration, 0 before the first.
func (f *Follower) Revision() int64 {
	if f.table == nil {
		return 0
	}
	return f.table.Configuration.Revision
}

// Tenants returns the tenants of the newest configuration, with their keys.
func (f *Follower) Tenants() []Tenant { return f.tenants }

// AcceptsDeltas reports whether Apply accepts a delta to the newest configuration.
func (f *Follower) AcceptsDeltas() bool { return f.table != nil && !f.needsFull }

// Replace adopts a full configuration, compressed by Compress. After an error the previous one stays in use.
func (f *Follower) Replace(packed []byte) error {
	document, err := Decompress(packed)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	decoded, err := Decode(document)
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	*f = Follower{table: NewTable(decoded, nil), tenants: decoded.Tenants, document: document}
	return nil
}

// Apply adopts a chain of deltas, skipping those to revisions adopted before. After an error the configuration is unchanged,
// and no further deltas are accepted until Replace.
func (f *Follower) Apply(chain []Delta) error {
	if err := f.buildIndex(); err != nil {
		f.needsFull = true
		return err
	}
	indexed, written, err := f.indexed.applyDeltas(chain)
	if err != nil {
		f.needsFull = true
		return err
	}
	routes, err := f.routesOf(indexed, written)
	if err != nil {
		f.needsFull = true
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

// buildIndex indexes the document unless it is indexed already. It runs only once a delta arrives, because all nodes receive
// a full configuration at the same time and most never receive a delta for it.
func (f *Follower) buildIndex() error {
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

// routesOf returns the routes of indexed in their order. It decodes only written routes and copies the others from the table.
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
