package roster

import (
	"slices"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// cordonTTL is how long a cordon lasts without an update from the lease holder: the unload for which the
// model was cordoned has been sent by then, and the list shows it.
const cordonTTL = 3 * time.Second

// list is this node's copy of the platform's list. Its lock guards all fields.
type list struct {
	lock     sync.Mutex
	replicas []discovery.Replica
	// asOf is a time that the list is at least as recent as, by this node's monotonic clock.
	asOf time.Time
	// sender is the lease holder whose update contained the list, and version is its version there. The
	// sender is "" for a list that did not come as an update.
	sender  string
	version string
	// pages is the number of pages that the platform's list had, 0 if that is not known.
	pages int
	// cordoned lists the models that the lease holder cordoned in its last update, received at cordonedAt.
	cordoned   []string
	cordonedAt time.Time
	// fence and sequence identify the newest update received.
	fence    uint64
	sequence uint64
}

// recordSequence records the fence and sequence of an update, and reports whether it is newer than all before.
func (l *list) recordSequence(fence, sequence uint64) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if fence < l.fence || fence == l.fence && sequence <= l.sequence {
		return false
	}
	l.fence, l.sequence = fence, sequence
	return true
}

// set replaces the list by one that did not come as an update, unless the current one is as recent. It
// reports whether the list was replaced.
func (l *list) set(replicas []discovery.Replica, pages int, asOf time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !asOf.After(l.asOf) {
		return false
	}
	l.replicas, l.pages, l.asOf, l.sender = replicas, pages, asOf, ""
	return true
}

// markDraining replaces the entries of replicas that are draining but not listed so yet, and reports whether there were any. The
// rest of the list and its age don't change.
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

// pageCount returns the number of pages that the platform's list had, 0 if that is not known.
func (l *list) pageCount() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.pages
}

// adoption is the result of adopting an update.
type adoption int

const (
	// adopted: the list is now that of the update.
	adopted adoption = iota
	// baseMismatch: the update is a difference to a list other than the current one.
	baseMismatch
	// superseded: the current list is newer and came from another node than the update.
	superseded
)

// adopt applies an update whose list is as of asOf, and the cordons in it. The updates of one member are
// applied in order, whatever their asOf; an update from another member doesn't replace a newer list by an
// older one.
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

// current returns the list and a time that it is at least as recent as.
func (l *list) current() ([]discovery.Replica, time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replicas, l.asOf
}

// cordonedModels returns the models that the lease holder last cordoned, or nil once cordonTTL has passed.
func (l *list) cordonedModels(now time.Time) []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.cordonedAt) > cordonTTL {
		return nil
	}
	return l.cordoned
}

// age returns an upper bound on the age of the list.
func (l *list) age(now time.Time) time.Duration {
	_, asOf := l.current()
	return now.Sub(asOf)
}
