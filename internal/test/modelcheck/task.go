package modelcheck

import (
	"encoding/json"
	"slices"

	"ferryspar/internal/keystore"
)

// taskKind is what a task does.
type taskKind string

// The kinds of tasks, as traces show them.
const (
	// taskChange adds a label to the key's value.
	taskChange taskKind = "change"
	// taskMembership commits a membership.
	taskMembership taskKind = "members"
	// taskTakeBack ends a joint membership with its current members.
	taskTakeBack taskKind = "take back"
	// taskDigest asks a majority what is committed.
	taskDigest taskKind = "look"
	// taskRead confirms an owned value at a majority.
	taskRead taskKind = "read"
	// taskAcquire acquires a lease once; taskRenew and taskRelease end it later or earlier.
	taskAcquire taskKind = "seize"
	taskRenew   taskKind = "renew"
	taskRelease taskKind = "release"
	// taskCatchUp brings the member on the same machine to where it votes.
	taskCatchUp taskKind = "catch up"
)

// Task is one thing that a proposer does.
type Task struct {
	Kind taskKind
	Key  string
	// Label names a change; the value of a key is the list of the labels of all its changes.
	Label string
	// Membership is the one that a taskMembership commits.
	Membership keystore.Membership
	// AfterVote names a member that must vote under the proposer's membership before the task begins.
	AfterVote string
	// AfterLabel names a change that must be acknowledged before the task begins.
	AfterLabel string
	// Attempts bounds how often the proposer tries to own the key, or sends the query.
	Attempts int
}

// Change adds a label to a key's value, in at most so many attempts to own the key.
func Change(key, label string, attempts int) Task {
	return Task{Kind: taskChange, Key: key, Label: label, Attempts: attempts}
}

// ChangeMembership commits a membership.
func ChangeMembership(membership keystore.Membership, afterVote string, attempts int) Task {
	return Task{
		Kind:       taskMembership,
		Key:        keystore.MembershipKey,
		Membership: membership,
		AfterVote:  afterVote,
		Attempts:   attempts,
	}
}

// RollBackMembership ends the joint membership that the proposer knows with its current members, in at most so many attempts.
func RollBackMembership(attempts int) Task {
	return Task{Kind: taskTakeBack, Key: keystore.MembershipKey, Attempts: attempts}
}

// Digest asks a majority what it holds, without owning any key.
func Digest() Task { return Task{Kind: taskDigest, Attempts: 1} }

// Read confirms the value of a key that is owned.
func Read(key string) Task { return Task{Kind: taskRead, Key: key, Attempts: 1} }

// Acquire acquires a lease in one attempt; Renew and Release confirm and end it.
func Acquire(key, label string) Task {
	return Task{Kind: taskAcquire, Key: key, Label: label, Attempts: 1}
}

// Renew extends a lease that is held.
func Renew(key string) Task { return Task{Kind: taskRenew, Key: key, Attempts: 1} }

// Release ends a lease that is held.
func Release(key string) Task { return Task{Kind: taskRelease, Key: key, Attempts: 1} }

// CatchUp brings the member on the proposer's machine to where it votes.
func CatchUp(attempts int) Task { return Task{Kind: taskCatchUp, Attempts: attempts} }

// After is the task, begun only once a change is acknowledged.
func (t Task) After(label string) Task {
	t.AfterLabel = label
	return t
}

// AfterVoteOf is the task, begun only once a member votes under the proposer's membership.
func (t Task) AfterVoteOf(member string) Task {
	t.AfterVote = member
	return t
}

// nextValue is what the task makes of the value in force: the next one, or done if it has taken effect already, or
// rejected.
func (t Task) nextValue(current json.RawMessage) (next json.RawMessage, done, rejected bool) {
	if t.Kind == taskMembership {
		committed := decodeMembership(current)
		next, _ = json.Marshal(t.Membership)
		return next, string(current) == string(next), committed.Version >= t.Membership.Version
	}
	labels := decodeLabels(current)
	if slices.Contains(labels, t.Label) {
		return nil, true, false
	}
	next, _ = json.Marshal(append(labels, t.Label))
	return next, false, false
}
