package drillcontrol

import (
	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// ErrUnchanged ends a decision on a record that needs no change.
var ErrUnchanged = errors.New("drill: record needs no change")

// errUnconfirmed is the answer to a request that needs state which a majority confirmed lately.
func errUnconfirmed() error {
	return apierror.New(apierror.NoMajority, "this daemon's state is not confirmed")
}
