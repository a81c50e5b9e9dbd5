package modelcheck

import (
	"encoding/json"
	"slices"

	"ferryspar/internal/keystore"
)

// taskKind is the kind of a task.
type taskKind string

// The kinds of tasks, as traces show them.
const (
	// taskChange adds a label to the key's value.
	taskChange taskKind = "change"
	// taskMembership commits a membership.
	taskMembership taskKind = "members"
	// taskRollback rolls a joint membership back to its current members.
	taskRollback taskKind = "take back"
	// taskDigest queries a majority for the committed values.
	taskDigest taskKind = "look"
	// taskRead confirms an owned value with a majority.
	taskRead taskKind = "read"
	// taskAcquire acquires a lease, taskRenew extends it and taskRelease ends it early.
	taskAcquire taskKind = "seize"
	taskRenew   taskKind = "renew"
	taskRelease taskKind = "release"
	// taskCatchUp catches up the member on the same machine, so that it votes.
	taskCatchUp taskKind = "catch up"
)

// Task is one operation of a proposer.
type Task struct {
	Kind taskKind
	Key  string
	// Label names a change; the value of a key is the list of the labels of all its changes.
	Label string
	// Membership is the one that a taskMembership commits.
	Membership keystore.Membership
	// AfterVote names a member that must vote under the proposer's membership before the task starts.
	AfterVote string
	// AfterLabel names a change that must be acknowledged before the task starts.
	AfterLabel string
	// Attempts is the maximum number of times that the proposer tries to own the key or sends the query.
	Attempts int
}

// Change adds a label to a key's value, in at most the given number of attempts to own the key.
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

// RollBackMembership rolls the joint membership that the proposer knows back to its current members, in at most the given
// number of attempts.
func RollBackMembership(attempts int) Task {
	return Task{Kind: taskRollback, Key: keystore.MembershipKey, Attempts: attempts}
}

// Digest queries a majority for the values that it holds, without owning any key.
func Digest() Task { return Task{Kind: taskDigest, Attempts: 1} }

// Read confirms the value of an owned key.
func Read(key string) Task { return Task{Kind: taskRead, Key: key, Attempts: 1} }

// Acquire acquires a lease in one attempt.
func Acquire(key, label string) Task {
	return Task{Kind: taskAcquire, Key: key, Label: label, Attempts: 1}
}

// Renew extends a held lease.
func Renew(key string) Task { return Task{Kind: taskRenew, Key: key, Attempts: 1} }

// Release ends a held lease.
func Release(key string) Task { return Task{Kind: taskRelease, Key: key, Attempts: 1} }

// CatchUp catches up the member on the proposer's machine, so that it votes.
func CatchUp(attempts int) Task { return Task{Kind: taskCatchUp, Attempts: attempts} }

// After returns the task with the precondition that a change has been acknowledged.
func (t Task) After(label string) Task {
	t.AfterLabel = label
	return t
}

// AfterVoteOf returns the task with the precondition that a member votes under the proposer's membership.
func (t Task) AfterVoteOf(member string) Task {
	t.AfterVote = member
	return t
}

// nextValue returns the value that the task derives from the current one. It returns done if the task has taken effect
// already, and rejected if it must not.
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
