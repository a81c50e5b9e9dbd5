package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"
	"github.com/pkg/errors"
)

// routesSection is the member of a document that lists the routes.
const routesSection = "routeTable"

// btreeDegree is the degree of the B-trees of IndexedDocument.
const btreeDegree = 16

// IndexedDocument is a validated configuration document whose routes are indexed by position, name and match key. A later
// revision shares the unchanged parts with the one it was derived from. It is immutable and safe for concurrent use.
//
// A patch of routes is validated against the index alone. Parsing and validating the whole document for a single route would
// take longer than callers wait when the configuration is large.
type IndexedDocument struct {
	revision int64
	// members holds the raw JSON members of the document other than the revision and the routes.
	members      map[string]json.RawMessage
	backendNames map[string]bool
	// routes is ordered by position in the document.
	routes *btree.BTreeG[routeItem]
	byName *btree.BTreeG[routeItem]
	byKey  *btree.BTreeG[routeItem]
	// nextPosition is the position of the next route to be added.
	nextPosition int
	// routesDigest is the sum of the digests of all routes.
	routesDigest uint64
}

// routeItem is one route of a document.
type routeItem struct {
	position int
	name     string
	// key is the match key (see Route.key), which is unique.
	key     string
	content json.RawMessage
}

// ErrNotIndexable is returned for a document or patch that IndexedDocument does not support; the caller must parse the full
// document instead.
var ErrNotIndexable = errors.New("configuration or patch cannot be indexed by route")

// IndexDocument indexes a document that Parse has decoded to configuration. It returns ErrNotIndexable if the routes are not
// listed under the exact name of their section: JSON decoding matches names case-insensitively, which makes the document
// ambiguous.
func IndexDocument(document []byte, configuration Configuration) (*IndexedDocument, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(document, &members); err != nil {
		return nil, ErrNotIndexable
	}
	routes, err := parseNamedItems(routesSection, members[routesSection])
	if err != nil || len(routes) != len(configuration.Routes) {
		return nil, ErrNotIndexable
	}
	delete(members, revisionSection)
	delete(members, routesSection)
	indexed := newIndexedDocument(configuration.Revision)
	for name, content := range members {
		if indexed.members[name], err = json.Marshal(content); err != nil {
			return nil, ErrNotIndexable
		}
	}
	for _, backend := range configuration.Backends {
		indexed.backendNames[backend.Name] = true
	}
	for index, route := range routes {
		content, err := json.Marshal(route.content)
		if err != nil || configuration.Routes[index].Name != route.name {
			return nil, ErrNotIndexable
		}
		indexed.insert(routeItem{position: index, name: route.name, key: configuration.Routes[index].key(), content: content})
	}
	return indexed, nil
}

func newIndexedDocument(revision int64) *IndexedDocument {
	return &IndexedDocument{
		revision:     revision,
		members:      map[string]json.RawMessage{},
		backendNames: map[string]bool{},
		routes:       btree.NewG(btreeDegree, func(left, right routeItem) bool { return left.position < right.position }),
		byName:       btree.NewG(btreeDegree, func(left, right routeItem) bool { return left.name < right.name }),
		byKey:        btree.NewG(btreeDegree, func(left, right routeItem) bool { return left.key < right.key }),
	}
}

// digest returns a hash of the name and content, independent of the position in the document.
func (r routeItem) digest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.name + "\x00")
	_, _ = hash.Write(r.content)
	return hash.Sum64()
}

// Digest returns a hash of the configuration that is independent of the order of its routes, by which nodes verify that they
// hold the same configuration.
func (i *IndexedDocument) Digest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strconv.FormatInt(i.revision, 10))
	for _, name := range slices.Sorted(maps.Keys(i.members)) {
		_, _ = hash.WriteString("\x00" + name + "\x00")
		_, _ = hash.Write(i.members[name])
	}
	return hash.Sum64() + i.routesDigest
}

// key returns the match key of the route: lower-case hostname and path prefix.
func (r Route) key() string { return strings.ToLower(r.Hostname) + " " + r.PathPrefix }

// Revision returns the revision of the configuration.
func (i *IndexedDocument) Revision() int64 { return i.revision }

// Apply returns the document after a patch, validated as by Parse. It returns ErrNotIndexable for a patch that changes
// anything but routes.
func (i *IndexedDocument) Apply(change []byte) (*IndexedDocument, error) {
	patch, err := parsePatch(change)
	if err != nil {
		return nil, err
	}
	if sections := patch.sections(); len(sections) != 1 || sections[0] != routesSection {
		return nil, ErrNotIndexable
	}
	next := i.clone()
	if next.revision, err = parseRevision(patch.Revision); err != nil {
		return nil, err
	}
	removed := patch.Remove[routesSection]
	upserts, err := i.decodeRoutes(patch.Upsert[routesSection], removed)
	if err != nil {
		return nil, err
	}
	for _, name := range removed {
		next.remove(name)
	}
	if err := next.replace(upserts); err != nil {
		return nil, err
	}
	return next, nil
}

func parseRevision(content json.RawMessage) (int64, error) {
	revision := int64(0)
	if json.Unmarshal(content, &revision) != nil {
		return 0, invalid("revision cannot be read")
	}
	if revision <= 0 {
		return 0, invalid("revision must be above 0")
	}
	return revision, nil
}

// decodeRoutes decodes and validates the routes of a list, except those to be removed. If a name is repeated, the last route
// replaces the first at its position.
func (i *IndexedDocument) decodeRoutes(list json.RawMessage, removed []string) ([]routeItem, error) {
	named, err := parseNamedItems(routesSection, list)
	if err != nil {
		return nil, err
	}
	positions := map[string]int{}
	var routes []routeItem
	for _, item := range named {
		if slices.Contains(removed, item.name) {
			continue
		}
		position, repeated := positions[item.name]
		if !repeated {
			position = len(routes)
			positions[item.name] = position
			routes = append(routes, routeItem{name: item.name})
		}
		routes[position].content = item.content
	}
	for position := range routes {
		if err := i.validate(&routes[position]); err != nil {
			return nil, err
		}
	}
	return routes, nil
}

// validate validates the content of a route and sets its key.
func (i *IndexedDocument) validate(item *routeItem) error {
	var route Route
	if err := json.Unmarshal(item.content, &route); err != nil {
		return decodeError(err)
	}
	if err := route.validate(item.position, i.backendNames, nil); err != nil {
		return err
	}
	content, err := json.Marshal(item.content)
	if err != nil {
		return decodeError(err)
	}
	item.key, item.content = route.key(), content
	return nil
}

// replace inserts routes in place of those with the same names, or after all others.
//
// It frees the keys of all replaced routes before it inserts the new ones, so that two routes may swap their keys.
func (i *IndexedDocument) replace(routes []routeItem) error {
	for index := range routes {
		routes[index].position = i.freeKey(routes[index].name)
	}
	for _, route := range routes {
		if other, taken := i.byKey.Get(route); taken {
			return invalid("routeTable %q: hostname and pathPrefix are those of %q", route.name, other.name)
		}
		i.insert(route)
	}
	return nil
}

// clone returns a copy whose trees share nodes with the original (copy-on-write).
func (i *IndexedDocument) clone() *IndexedDocument {
	next := *i
	next.routes, next.byName, next.byKey = i.routes.Clone(), i.byName.Clone(), i.byKey.Clone()
	return &next
}

func (i *IndexedDocument) insert(route routeItem) {
	if previous, replaced := i.routes.ReplaceOrInsert(route); replaced {
		i.routesDigest -= previous.digest()
	}
	i.routesDigest += route.digest()
	i.byName.ReplaceOrInsert(route)
	i.byKey.ReplaceOrInsert(route)
	i.nextPosition = max(i.nextPosition, route.position+1)
}

func (i *IndexedDocument) remove(name string) {
	if route, known := i.byName.Delete(routeItem{name: name}); known {
		i.routes.Delete(route)
		i.byKey.Delete(route)
		i.routesDigest -= route.digest()
	}
}

// freeKey frees the key of a route that is to be replaced, and returns the position for its replacement: that of the route, or
// a new one if there is no such route.
func (i *IndexedDocument) freeKey(name string) int {
	route, known := i.byName.Get(routeItem{name: name})
	if !known {
		i.nextPosition++
		return i.nextPosition - 1
	}
	i.byKey.Delete(route)
	return route.position
}

// Document returns the JSON document in the canonical form of ApplyPatch: members sorted by name, without whitespace.
func (i *IndexedDocument) Document() []byte {
	var document bytes.Buffer
	names := slices.AppendSeq([]string{revisionSection, routesSection}, maps.Keys(i.members))
	slices.Sort(names)
	for index, name := range names {
		document.WriteByte("{,"[min(index, 1)])
		label, _ := json.Marshal(name)
		document.Write(label)
		document.WriteByte(':')
		i.writeMember(&document, name)
	}
	document.WriteByte('}')
	return document.Bytes()
}

func (i *IndexedDocument) writeMember(document *bytes.Buffer, name string) {
	switch name {
	case revisionSection:
		document.WriteString(strconv.FormatInt(i.revision, 10))
	case routesSection:
		separator := byte('[')
		i.routes.Ascend(func(route routeItem) bool {
			document.WriteByte(separator)
			document.Write(route.content)
			separator = ','
			return true
		})
		if separator == '[' {
			document.WriteByte('[')
		}
		document.WriteByte(']')
	default:
		document.Write(i.members[name])
	}
}
