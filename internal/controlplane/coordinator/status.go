package coordinator

import (
	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

// statusOf is how the error of a call is sent.
func statusOf(err error) peer.CoordinationStatus {
	switch {
	case err == nil:
		return peer.CoordinationDecided
	case errors.Is(err, ErrOverloaded):
		return peer.CoordinationOverloaded
	case errors.Is(err, ErrNotExecuted):
		return peer.CoordinationNotExecuted
	}
	return peer.CoordinationUncertain
}

// errorOf is the error of a call by its status. One that this version does not know may mean anything.
func errorOf(status peer.CoordinationStatus) error {
	switch status {
	case peer.CoordinationDecided:
		return nil
	case peer.CoordinationOverloaded:
		return ErrOverloaded
	case peer.CoordinationNotExecuted:
		return ErrNotExecuted
	}
	return ErrUncertain
}
