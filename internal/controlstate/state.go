package controlstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/keystore"
)

// Store is the part of keystore.Store that a State needs.
type Store interface {
	// Change writes what decide returns for the committed value, and may call decide again if that value changes in the
	// meantime. It returns the register that is committed afterwards.
	Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error)
	// Read returns the committed register.
	Read(ctx context.Context, name string) (keystore.Register, error)
	// ReadCommitted returns the committed register if it can be determined without taking ownership of the key.
	ReadCommitted(ctx context.Context, name string) (keystore.Register, bool)
}

// State applies operators' calls to the control state of one deployment. It is safe for concurrent use.
type State struct {
	Store Store
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string
	Clock func() time.Time

	items itemsCache
}

// Change is the result of an acknowledged call: the committed register, and whether this call wrote it. Written is false if the
// call had been applied before.
type Change struct {
	Register keystore.Register
	Written  bool
}

// errAlreadyApplied is returned by a decision on a call that was applied before. The call is acknowledged.
var errAlreadyApplied = errors.New("call already applied")

// applyChange writes a key and returns the outcome for the operator: a nil error acknowledges the call. The call is rejected
// only for a reason that a majority has confirmed; otherwise it could still be applied after the rejection.
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

// ToAPIError converts an error of the keystore to an apierror.Error. It returns other errors unchanged.
func ToAPIError(err error) error {
	switch {
	case errors.Is(err, keystore.ErrNoMajority), errors.Is(err, keystore.ErrContended):
		return apierror.New(apierror.NoMajority, "")
	case errors.Is(err, keystore.ErrUncertain):
		return apierror.New(apierror.UncertainWrite, "")
	}
	return err
}
