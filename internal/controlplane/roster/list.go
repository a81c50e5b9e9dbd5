package roster

import (
	"slices"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// cordonLifetime is how long a cordon stays without an update of the lease holder: an unload that it
// precedes has been sent by then, and the list shows it.
const cordonLifetime = 3 * time.Second

// list is the platform's list as this node holds it. Its lock guards all of it.
type list struct {
	lock     sync.Mutex
	replicas []discovery.Replica
	// asOf is a moment at or before which the list was made, by this node's steady clock.
	asOf time.Time
	// sender is the lease holder whose update the list is, under that version, or "" for a list that
	// this node read itself.
	sender  string
	version string
	// pages is how many pages of the platform's list it was read from, 0 if that is not known.
	pages int
	// cordoned is what the lease holder last cordoned, at cordonedAt.
	cordoned   []string
	cordonedAt time.Time
	// fence and sequence are those of the newest update received.
	fence    uint64
	sequence uint64
}

// advance records the fence and sequence of an update, and returns whether it is newer than all before.
func (l *list) advance(fence, sequence uint64) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if fence < l.fence || fence == l.fence && sequence <= l.sequence {
		return false
	}
	l.fence, l.sequence = fence, sequence
	return true
}

// set adopts a list that did not come by an update, made at that moment or later, unless the present
// one is as new. It returns whether it did.
func (l *list) set(replicas []discovery.Replica, pages int, asOf time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !asOf.After(l.asOf) {
		return false
	}
	l.replicas, l.pages, l.asOf, l.sender = replicas, pages, asOf, ""
	return true
}

// markDraining adopts that replicas are draining which the present list has otherwise, and returns whether there are any. The
// rest of the list stays as it was, and as old.
func (l *list) markDraining(draining map[string]discovery.Replica) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	changed := false
	replicas := slices.Clone(l.replicas)
	for index, replica := range replicas {
		if entry, isDraining := draining[replica.ID]; isDraining && replica.State != discovery.StateDraining {
			replicas[index], changed = entry, true
		}
	}
	if changed {
		l.replicas, l.sender = replicas, ""
	}
	return changed
}

// pageCount is how many pages the platform's list had, 0 if that is not known.
func (l *list) pageCount() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.pages
}

// adoption is the result of adopting an update.
type adoption int

const (
	// adopted: the list of the update is the present one now.
	adopted adoption = iota
	// baseMismatch: the update is a difference to another list than the present one.
	baseMismatch
	// superseded: the present list is newer, and the sender of the update has not seen it.
	superseded
)

// adopt adopts the list of an update that was made at that moment, and what it cordons. Updates of one
// member come in order; those of a member that has an older list than the present one don't bring that
// back.
func (l *list) adopt(update peer.RosterUpdate, asOf, now time.Time) adoption {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cordoned, l.cordonedAt = update.Cordoned, now
	if l.sender != update.Member && l.asOf.After(asOf) {
		return superseded
	}
	replicas := update.Replicas
	if update.BaseVersion != "" {
		if l.sender != update.Member || l.version != update.BaseVersion {
			return baseMismatch
		}
		replicas = applyDiff(l.replicas, update.Replicas, update.Removed)
	}
	l.replicas, l.asOf, l.sender, l.version = replicas, asOf, update.Member, update.Version
	l.pages = update.Pages
	return adopted
}

// current returns the list and the moment at or before which it was made.
func (l *list) current() ([]discovery.Replica, time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replicas, l.asOf
}

// cordonedModels is what the lease holder last cordoned, unless that is too long ago.
func (l *list) cordonedModels(now time.Time) []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.cordonedAt) > cordonLifetime {
		return nil
	}
	return l.cordoned
}

// age is how old the list may be.
func (l *list) age(now time.Time) time.Duration {
	_, asOf := l.current()
	return now.Sub(asOf)
}
