package peer

// ChangeRequest forwards an operator's configuration change to the control plane that owns the configuration's key.
type ChangeRequest struct {
	// Digest identifies the call. A request with an empty Body queries the outcome of that call.
	Digest    []byte `json:"digest"`
	Method    string `json:"method"`
	Condition int64  `json:"condition"`
	Body      []byte `json:"body,omitempty"`
}

// ChangeOutcome is the state of a forwarded change.
type ChangeOutcome string

// The outcomes. Their values are part of the protocol between versions.
const (
	// ChangeAcknowledged: the change is in effect, or an earlier call has already made it.
	ChangeAcknowledged ChangeOutcome = "acknowledged"
	// ChangePending: the change is in progress.
	ChangePending ChangeOutcome = "pending"
	// ChangeUnknown: the request had no body, and no call with its digest is in progress.
	ChangeUnknown ChangeOutcome = "unknown"
	// ChangeInvalid, ChangeConflict and ChangeTooOld: the change is rejected; see the kinds of package apierror.
	ChangeInvalid  ChangeOutcome = "invalid"
	ChangeConflict ChangeOutcome = "conflict"
	ChangeTooOld   ChangeOutcome = "too_old"
	// ChangeUndecided: the owner can't determine whether the change takes effect.
	ChangeUndecided ChangeOutcome = "undecided"
)

// ChangeReply answers a ChangeRequest.
type ChangeReply struct {
	Outcome ChangeOutcome `json:"outcome"`
	Detail  string        `json:"detail,omitempty"`
}
