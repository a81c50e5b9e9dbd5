// Package controlstate decides on the operator's calls: a whole configuration, a change of
// named items, and the evacuation of a zone, each a key of the keystore.
//
// It never answers on anything but a value that a majority of members holds, and never tells
// data planes: its caller does, with the slot that a Change names. Start reading with
// State.Replace and State.DrainZone; taken.go has the memory by which repeated calls are
// recognised.
package controlstate

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/keystore"
)

// Store is the part of keystore.Store that decisions need.
type Store interface {
	Change(ctx context.Context, name string, decide keystore.Decide) (keystore.Register, error)
	Read(ctx context.Context, name string) (keystore.Register, error)
}

// State carries out the operator's calls on the keys of one fleet. Any goroutine may call it.
type State struct {
	Store Store
	// Zones names the zones of the deployment.
	Zones map[string]string
	Clock func() time.Time
}

// Change is the outcome of an acknowledged call: the slot that was written, unless the call
// had been taken before.
type Change struct {
	Register keystore.Register
	Written  bool
}

// errAlreadyApplied ends a decision on a call that was carried out before; the call is acknowledged.
var errAlreadyApplied = errors.New("already taken")

// change writes a key and turns the outcome into the operator's: nil for an acknowledgement,
// an error that promises a refusal only where a majority showed the reason.
func (s *State) applyChange(ctx context.Context, name string, decide keystore.Decide) (Change, error) {
	register, err := s.Store.Change(ctx, name, decide)
	if errors.Is(err, errAlreadyApplied) {
		return Change{Register: register}, nil
	}
	if err != nil {
		return Change{}, Translate(err)
	}
	return Change{Register: register, Written: true}, nil
}

var keystoreErrors = map[error]apierror.Kind{
	keystore.ErrNoMajority: apierror.NoMajority,
	keystore.ErrContended:  apierror.NoMajority,
	keystore.ErrUncertain:  apierror.UncertainWrite,
}

// Translate turns an error of the keystore into one of the closed list; others pass.
func Translate(err error) error {
	if err == nil {
		return nil
	}
	if kind, known := keystoreErrors[errors.Cause(err)]; known {
		return apierror.New(kind, "")
	}
	return err
}

// Replace puts a whole configuration in force on top of version condition (0 for the first).
func (s *State) Replace(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	read, err := configuration.Parse(body)
	if err != nil {
		return Change{}, err
	}
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(ConfigurationRecord) (int64, []byte, error) {
		return read.Revision, body, nil
	})
}

// Patch alters named items of version condition.
func (s *State) Patch(ctx context.Context, baseRevision int64, method string, body []byte) (Change, error) {
	call := newCallDigest(method, baseRevision, body)
	return s.changeConfiguration(ctx, baseRevision, call, func(current ConfigurationRecord) (int64, []byte, error) {
		present, err := configuration.Decompress(current.Packed)
		if err != nil {
			return 0, nil, err
		}
		document, err := configuration.ApplyPatch(present, body)
		if err != nil {
			return 0, nil, err
		}
		read, err := configuration.Parse(document)
		return read.Revision, document, err
	})
}

// composer makes the next document, and its revision, from the record in force.
type composer func(current ConfigurationRecord) (int64, []byte, error)

func (s *State) changeConfiguration(ctx context.Context, baseRevision int64, call callDigest, compose composer) (Change, error) {
	return s.applyChange(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
		record, err := DecodeConfiguration(current)
		if err != nil {
			return nil, err
		}
		if err := record.check(baseRevision, call); err != nil {
			return nil, err
		}
		revision, document, err := compose(record)
		if err != nil {
			return nil, err
		}
		if revision <= record.Revision {
			return nil, apierror.New(apierror.InvalidConfiguration, "revision %d is not above %d", revision, record.Revision)
		}
		return json.Marshal(record.next(revision, document, call))
	})
}

// judge says whether a call may build on the record: errAlreadyApplied where it was carried out, a
// refusal where another version is in force, and neither promise where the call is older than
// the memory of calls.
func (r ConfigurationRecord) check(baseRevision int64, call callDigest) error {
	switch {
	case r.AppliedCalls.contains(call):
		return errAlreadyApplied
	case baseRevision == r.Revision:
		return nil
	case r.AppliedCalls.mayHaveForgotten(baseRevision):
		return apierror.New(apierror.CallTooOld, "calls that built on versions up to %d are not remembered", r.AppliedCalls.ForgottenUpTo)
	}
	return apierror.New(apierror.VersionConflict, "revision %d is current", r.Revision)
}

// Configuration reads the document in force, confirmed at a majority.
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

// DrainZone asks that nothing be sent to a zone's replicas, or withdraws that. The call names
// no version, so a copy of it that comes late must not undo what was acknowledged after it:
// the state is looked at before the time `before`, while its caller still waits for this answer,
// and is left alone where it has changed since that first look.
func (s *State) DrainZone(ctx context.Context, zone string, drained bool, deadline time.Time) (Change, error) {
	if _, known := s.Zones[zone]; !known {
		return Change{}, apierror.New(apierror.UnknownZone, "%s", zone)
	}
	var first *ZoneRecord
	return s.applyChange(ctx, keystore.ZonePrefix+zone, func(current keystore.Register) (json.RawMessage, error) {
		record, err := DecodeZone(current)
		if err != nil {
			return nil, err
		}
		if record.Version > 0 && record.Drained == drained {
			return nil, errAlreadyApplied
		}
		if first == nil {
			first = &record
		}
		if !s.Clock().Before(deadline) || first.Version != record.Version {
			return nil, apierror.New(apierror.CallExpired, "")
		}
		return json.Marshal(ZoneRecord{Version: record.Version + 1, Drained: drained})
	})
}
