package controlstate

import (
	"context"
	"encoding/json"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// document is a configuration to be put in force.
type document struct {
	revision int64
	content  []byte
}

// composeFunc makes the next document from the record in force.
type composeFunc func(current ConfigurationRecord) (document, error)

// Replace puts a whole configuration in force on top of baseRevision, which is 0 for the first one. The method is that
// of the operator's HTTP request. The error is an apierror.Error unless a stored record cannot be read.
func (s *State) Replace(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	table, err := configuration.Parse(body)
	if err != nil {
		return Change{}, err
	}
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(ConfigurationRecord) (document, error) {
		return document{table.Revision, body}, nil
	})
}

// Patch changes named items of the configuration baseRevision. Its errors are those of Replace.
func (s *State) Patch(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(current ConfigurationRecord) (document, error) {
		return patch(current, body)
	})
}

func patch(current ConfigurationRecord, body []byte) (document, error) {
	content, err := configuration.Decompress(current.Packed)
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
	return document{table.Revision, patched}, nil
}

func (s *State) changeConfiguration(
	ctx context.Context, baseRevision int64, call callDigest, compose composeFunc,
) (Change, error) {
	return s.applyChange(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
		record, err := DecodeConfiguration(current)
		if err != nil {
			return nil, err
		}
		if err := record.check(baseRevision, call); err != nil {
			return nil, err
		}
		next, err := compose(record)
		if err != nil {
			return nil, err
		}
		if next.revision <= record.Revision {
			return nil, apierror.New(apierror.InvalidConfiguration, "revision %d is not above %d", next.revision, record.Revision)
		}
		return json.Marshal(record.next(next, call))
	})
}

// Configuration returns the document in force, confirmed by a majority. The error is an apierror.Error unless the
// stored record cannot be read.
func (s *State) Configuration(ctx context.Context) (json.RawMessage, error) {
	register, err := s.Store.Read(ctx, keystore.ConfigurationKey)
	if err != nil {
		return nil, Translate(err)
	}
	record, err := DecodeConfiguration(register)
	if err != nil {
		return nil, err
	}
	if record.Revision == 0 {
		return nil, apierror.New(apierror.NoConfiguration, "")
	}
	return configuration.Decompress(record.Packed)
}
