package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// rosterState is the platform's list as this daemon holds it, and what is known of the lists that the
// other members hold. Its lock guards it.
type rosterState struct {
	lock sync.Mutex
	// publishing is held from reading the list until it is published, so that the newest stays.
	publishLock sync.Mutex
	replicas    []discovery.Replica
	// at is a moment at or before which the list was made, by this daemon's steady clock.
	at time.Time
	// from is the lease holder whose share the list is, under that stamp, or empty for an own list.
	sender  string
	version string
	// barred is what the lease holder told last not to use, at cordonedAt.
	cordoned   []string
	cordonedAt time.Time
	// sentRoster, sharing and again are by the address of the member that a list is shared with: what
	// it holds, whether it is being told, and whether it is to be told once more.
	acknowledged map[string]sentRoster
	sharing      map[string]bool
	resend       map[string]bool
	// fence and number are those of the newest share heard.
	fence    uint64
	sequence uint64
}

// advance notes the fence and number of a share, and says whether it is newer than all before.
func (r *rosterState) advance(fence, sequence uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if fence < r.fence || fence == r.fence && sequence <= r.sequence {
		return false
	}
	r.fence, r.sequence = fence, sequence
	return true
}

// listed is the list as it is held.
func (r *rosterState) replicaList() []discovery.Replica {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.replicas
}

// set adopts a list that did not come by a share, made at that moment or later, unless the one held
// is as new. It says whether it did.
func (r *rosterState) set(replicas []discovery.Replica, at time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !at.After(r.at) {
		return false
	}
	r.replicas, r.at, r.sender = replicas, at, ""
	return true
}

// Results of adopting a share.
type adoption int

const (
	// adopted: the list of the share is now held.
	adopted adoption = iota
	// baseMismatch: the share is a difference to another list than the one held.
	baseMismatch
	// superseded: a newer list is held, which the sender of the share has not seen.
	superseded
)

// adopt adopts the list of a share that was made at that moment, and what it bars. Shares of one
// member come in order; those of a member that has an older list than the one held here do not bring
// it back.
func (r *rosterState) adopt(update peer.RosterUpdate, at, now time.Time) adoption {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cordoned, r.cordonedAt = update.Cordoned, now
	if r.sender != update.Member && r.at.After(at) {
		return superseded
	}
	replicas := update.Replicas
	if update.BaseVersion != "" {
		if r.sender != update.Member || r.version != update.BaseVersion {
			return baseMismatch
		}
		replicas = applyRosterDiff(r.replicas, update.Replicas, update.Removed)
	}
	r.replicas, r.at, r.sender, r.version = replicas, at, update.Member, update.Version
	return adopted
}

// begin notes that a member is being told the list, or, if it is already, that it is to be told once
// more; it reports false then.
func (r *rosterState) beginSend(address string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.sharing == nil {
		r.acknowledged, r.sharing, r.resend = map[string]sentRoster{}, map[string]bool{}, map[string]bool{}
	}
	if r.sharing[address] {
		r.resend[address] = true
		return false
	}
	r.sharing[address] = true
	return true
}

// acknowledgedBy is what a member has last been told, if it has confirmed that.
func (r *rosterState) acknowledgedBy(address string) (sentRoster, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent, known := r.acknowledged[address]
	return sent, known
}

// end notes what a member was told and whether it holds that now. It reports whether the member is
// to be told once more.
func (r *rosterState) endSend(address string, sent sentRoster, acknowledged bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	resend := r.resend[address]
	delete(r.resend, address)
	delete(r.acknowledged, address)
	if acknowledged {
		r.acknowledged[address] = sent
	}
	r.sharing[address] = resend
	return resend
}

// held is the list and the moment at or before which it was made.
func (r *rosterState) current() ([]discovery.Replica, time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.replicas, r.at
}

// bars is what the lease holder told last not to use, unless that is too long ago.
func (r *rosterState) cordonedReplicas(now time.Time) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now.Sub(r.cordonedAt) > cordonLifetime {
		return nil
	}
	return r.cordoned
}

// cordonLifetime is how long a bar stays without word from the holder: an unload that it precedes has been
// sent by then, and the list shows it.
const cordonLifetime = 3 * time.Second

// age is how old the list may be.
func (r *rosterState) age(now time.Time) time.Duration {
	_, at := r.current()
	return now.Sub(at)
}
