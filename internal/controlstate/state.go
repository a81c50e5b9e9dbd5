package controlstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/keystore"
)

// Store is the part of keystore.Store that decisions need.
type Store interface {
	// Change writes what decide returns for the committed value, and may call it again if that value
	// changes meanwhile. It returns the register that is committed afterwards.
	Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error)
	// Read returns the committed register.
	Read(ctx context.Context, name string) (keystore.Register, error)
	// ReadCommitted returns the committed register if that can be told without taking the key from its owner.
	ReadCommitted(ctx context.Context, name string) (keystore.Register, bool)
}

// State carries out the calls of operators on the keys of one fleet. It is safe for concurrent use.
type State struct {
	Store Store
	// Zones holds the zones of the deployment by name.
	Zones map[string]string
	Clock func() time.Time

	items itemsCache
}

// Change is the outcome of an acknowledged call: the committed register, and whether this call wrote it. It
// didn't if the call had been applied before.
type Change struct {
	Register keystore.Register
	Written  bool
}

// errAlreadyApplied ends a decision on a call that was carried out before; the call is acknowledged.
var errAlreadyApplied = errors.New("call already applied")

// applyChange writes a key and returns the outcome for the operator: nil for an acknowledgement, and an error
// that promises a rejection only where a majority showed the reason. A rejection on anything less could be
// given to a call that is applied later.
func (s *State) applyChange(ctx context.Context, name string, decide keystore.ChangeFunc) (Change, error) {
	register, err := s.Store.Change(ctx, name, decide)
	if errors.Is(err, errAlreadyApplied) {
		return Change{Register: register}, nil
	}
	if err != nil {
		return Change{}, ToAPIError(err)
	}
	return Change{Register: register, Written: true}, nil
}

// ToAPIError turns an error of the keystore into an apierror.Error; others pass.
func ToAPIError(err error) error {
	switch {
	case errors.Is(err, keystore.ErrNoMajority), errors.Is(err, keystore.ErrContended):
		return apierror.New(apierror.NoMajority, "")
	case errors.Is(err, keystore.ErrUncertain):
		return apierror.New(apierror.UncertainWrite, "")
	}
	return err
}
