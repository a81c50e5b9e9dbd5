package coordinator

import (
	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

// statusOf returns the wire status for the error of a call.
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

// errorOf returns the error for a wire status. A status that this version does not know counts as uncertain.
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
