package controlstate

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// document is a configuration to be put in force, with its items if it is divided into them, and the difference from the one
// before if they differ in routes only.
type document struct {
	revision   int64
	content    []byte
	items      *configuration.Items
	difference *configuration.Difference
}

// composeFunc makes the next document from the record in force, which is stored as value.
type composeFunc func(value json.RawMessage, current ConfigurationRecord) (document, error)

// Replace puts a whole configuration in force on top of baseRevision, which is 0 for the first one. The method is that
// of the operator's HTTP request. The error is an apierror.Error unless a stored record cannot be read.
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

// addDifference divides a whole document, and adds its difference from the record in force if there is one.
func (s *State) addDifference(next *document, parsed configuration.Configuration, value json.RawMessage, current ConfigurationRecord) {
	items, err := configuration.Divide(next.content, parsed)
	if err != nil {
		return
	}
	next.items = items
	if current.Revision == 0 {
		return
	}
	base, err := s.items.of(value, current)
	if err != nil {
		return
	}
	if difference, small := configuration.NewDifference(base, items); small {
		next.difference = &difference
	}
}

// Patch changes named items of the configuration baseRevision. Its errors are those of Replace.
func (s *State) Patch(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(value json.RawMessage, current ConfigurationRecord) (document, error) {
		return s.patch(value, current, body)
	})
}

// patch applies a change to the items of the record where it can, else to the whole document.
func (s *State) patch(value json.RawMessage, current ConfigurationRecord, body []byte) (document, error) {
	base, err := s.items.of(value, current)
	if errors.Is(err, configuration.ErrIndivisible) {
		return patchWhole(current, body)
	}
	if err != nil {
		return document{}, err
	}
	items, err := base.Apply(body)
	if errors.Is(err, configuration.ErrIndivisible) {
		return patchWhole(current, body)
	}
	if err != nil {
		return document{}, err
	}
	return document{
		revision: items.Revision(),
		content:  items.Document(),
		items:    items,
		difference: &configuration.Difference{
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
	decide := decideOnce(func(value json.RawMessage) (json.RawMessage, error) {
		return s.nextRecord(value, baseRevision, call, compose)
	})
	return s.applyChange(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
		return decide(current.Value)
	})
}

// nextRecord decides what follows the stored record, or rejects the call.
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

// Configuration returns the document in force, confirmed by a majority. The error is an apierror.Error unless the
// stored record cannot be read.
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
