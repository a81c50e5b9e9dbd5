package controlstate

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// document is a configuration that is about to be stored. items is nil if the document cannot be divided into items; difference
// is the difference from the previous configuration, or nil if the two differ in more than routes.
type document struct {
	revision   int64
	content    []byte
	items      *configuration.IndexedDocument
	difference *configuration.Delta
}

// composeFunc returns the next document, based on the current record and its stored value.
type composeFunc func(value json.RawMessage, current ConfigurationRecord) (document, error)

// Replace replaces the configuration of revision baseRevision, which is 0 for the first configuration, by a whole document. The
// method is that of the operator's HTTP request. The error is an apierror.Error unless a stored record cannot be read.
func (s *State) Replace(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	parsed, err := configuration.Parse(body)
	if err != nil {
		return Change{}, err
	}
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(value json.RawMessage, current ConfigurationRecord) (document, error) {
		next := document{revision: parsed.Revision, content: body}
		s.addDifference(&next, parsed, value, current)
		return next, nil
	})
}

// addDifference divides a whole document into items and adds its difference from the current record if possible. A document
// without these parts is valid too, so errors are ignored.
func (s *State) addDifference(next *document, parsed configuration.Configuration, value json.RawMessage, current ConfigurationRecord) {
	items, err := configuration.IndexDocument(next.content, parsed)
	if err != nil {
		return
	}
	next.items = items
	if current.Revision == 0 {
		return
	}
	base, err := s.items.get(value, current)
	if err != nil {
		return
	}
	if difference, small := configuration.NewDelta(base, items); small {
		next.difference = &difference
	}
}

// Patch changes named items of the configuration of revision baseRevision. Its errors are those of Replace.
func (s *State) Patch(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(value json.RawMessage, current ConfigurationRecord) (document, error) {
		return s.patch(value, current, body)
	})
}

// patch applies a patch to the items of the current record or, if the document cannot be divided, to the whole document.
func (s *State) patch(value json.RawMessage, current ConfigurationRecord, body []byte) (document, error) {
	base, err := s.items.get(value, current)
	if errors.Is(err, configuration.ErrNotIndexable) {
		return patchWhole(current, body)
	}
	if err != nil {
		return document{}, err
	}
	items, err := base.Apply(body)
	if errors.Is(err, configuration.ErrNotIndexable) {
		return patchWhole(current, body)
	}
	if err != nil {
		return document{}, err
	}
	return document{
		revision: items.Revision(),
		content:  items.Document(),
		items:    items,
		difference: &configuration.Delta{
			Base:     base.Revision(),
			Revision: items.Revision(),
			Patch:    body,
			Digest:   items.Digest(),
		},
	}, nil
}

func patchWhole(current ConfigurationRecord, body []byte) (document, error) {
	content, err := configuration.Decompress(current.CompressedDocument)
	if err != nil {
		return document{}, err
	}
	patched, err := configuration.ApplyPatch(content, body)
	if err != nil {
		return document{}, err
	}
	table, err := configuration.Parse(patched)
	if err != nil {
		return document{}, err
	}
	return document{revision: table.Revision, content: patched}, nil
}

func (s *State) changeConfiguration(
	ctx context.Context, baseRevision int64, call callDigest, compose composeFunc,
) (Change, error) {
	decide := memoizeDecision(func(value json.RawMessage) (json.RawMessage, error) {
		return s.nextRecord(value, baseRevision, call, compose)
	})
	return s.applyChange(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
		return decide(current.Value)
	})
}

// nextRecord returns the record to store after the given one, or an error if the call is rejected or was already applied.
func (s *State) nextRecord(
	value json.RawMessage, baseRevision int64, call callDigest, compose composeFunc,
) (json.RawMessage, error) {
	record, err := DecodeConfiguration(keystore.Register{Value: value})
	if err != nil {
		return nil, err
	}
	if err := record.check(baseRevision, call); err != nil {
		return nil, err
	}
	next, err := compose(value, record)
	if err != nil {
		return nil, err
	}
	if next.revision <= record.Revision {
		return nil, apierror.New(apierror.InvalidConfiguration, "revision %d is not above %d", next.revision, record.Revision)
	}
	stored, err := json.Marshal(record.next(next, call))
	if err == nil && next.items != nil {
		s.items.put(stored, next.items)
	}
	return stored, err
}

// Configuration returns the current document as confirmed by a majority. The error is an apierror.Error unless the stored
// record cannot be read.
func (s *State) Configuration(ctx context.Context) (json.RawMessage, error) {
	register, err := s.Store.Read(ctx, keystore.ConfigurationKey)
	if err != nil {
		return nil, ToAPIError(err)
	}
	record, err := DecodeConfiguration(register)
	if err != nil {
		return nil, err
	}
	if record.Revision == 0 {
		return nil, apierror.New(apierror.NoConfiguration, "")
	}
	return configuration.Decompress(record.CompressedDocument)
}
