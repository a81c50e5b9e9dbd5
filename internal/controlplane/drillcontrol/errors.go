package drillcontrol

import (
	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// ErrUnchanged is returned by a decide function of Store.ChangeDrill if the record needs no change.
var ErrUnchanged = errors.New("drill: record needs no change")

// errUnconfirmed returns the error for a request that requires state confirmed by a majority recently.
func errUnconfirmed() error {
	return apierror.New(apierror.NoMajority, "this daemon's state is not confirmed")
}
