package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
)

// rosterState is the platform's list as this daemon holds it, and what is known of the lists that the
// other members hold. Its lock guards it.
type rosterState struct {
	lock sync.Mutex
	// publishing is held from reading the list until it is published, so that the newest stays.
	publishing sync.Mutex
	replicas   []platform.Replica
	// at is a moment at or before which the list was made, by this daemon's steady clock.
	at time.Time
	// from is the lease holder whose share the list is, under that stamp, or empty for an own list.
	from  string
	stamp string
	// barred is what the lease holder told last not to use, at barredAt.
	barred   []string
	barredAt time.Time
	// shared, sharing and again are by the address of the member that a list is shared with: what
	// it holds, whether it is being told, and whether it is to be told once more.
	shared  map[string]shared
	sharing map[string]bool
	again   map[string]bool
	// fence and number are those of the newest share heard.
	fence  uint64
	number uint64
}

// advance notes the fence and number of a share, and says whether it is newer than all before.
func (r *rosterState) advance(fence, number uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if fence < r.fence || fence == r.fence && number <= r.number {
		return false
	}
	r.fence, r.number = fence, number
	return true
}

// listed is the list as it is held.
func (r *rosterState) listed() []platform.Replica {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.replicas
}

// set adopts a list that did not come by a share, made at that moment or later, unless the one held
// is as new. It says whether it did.
func (r *rosterState) set(replicas []platform.Replica, at time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !at.After(r.at) {
		return false
	}
	r.replicas, r.at, r.from = replicas, at, ""
	return true
}

// Results of adopting a share.
type adoption int

const (
	// adopted: the list of the share is now held.
	adopted adoption = iota
	// unfounded: the share is a difference to another list than the one held.
	unfounded
	// overtaken: a newer list is held, which the sender of the share has not seen.
	overtaken
)

// adopt adopts the list of a share that was made at that moment, and what it bars. Shares of one
// member come in order; those of a member that has an older list than the one held here do not bring
// it back.
func (r *rosterState) adopt(share peer.RosterUpdate, at, now time.Time) adoption {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.barred, r.barredAt = share.Cordoned, now
	if r.from != share.Member && r.at.After(at) {
		return overtaken
	}
	replicas := share.Replicas
	if share.BaseVersion != "" {
		if r.from != share.Member || r.stamp != share.BaseVersion {
			return unfounded
		}
		replicas = combine(r.replicas, share.Replicas, share.Removed)
	}
	r.replicas, r.at, r.from, r.stamp = replicas, at, share.Member, share.Version
	return adopted
}

// begin notes that a member is being told the list, or, if it is already, that it is to be told once
// more; it reports false then.
func (r *rosterState) begin(address string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.sharing == nil {
		r.shared, r.sharing, r.again = map[string]shared{}, map[string]bool{}, map[string]bool{}
	}
	if r.sharing[address] {
		r.again[address] = true
		return false
	}
	r.sharing[address] = true
	return true
}

// sharedWith is what a member has last been told, if it has confirmed that.
func (r *rosterState) sharedWith(address string) (shared, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	held, known := r.shared[address]
	return held, known
}

// end notes what a member was told and whether it holds that now. It reports whether the member is
// to be told once more.
func (r *rosterState) end(address string, told shared, taken bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	again := r.again[address]
	delete(r.again, address)
	delete(r.shared, address)
	if taken {
		r.shared[address] = told
	}
	r.sharing[address] = again
	return again
}

// held is the list and the moment at or before which it was made.
func (r *rosterState) held() ([]platform.Replica, time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.replicas, r.at
}

// bars is what the lease holder told last not to use, unless that is too long ago.
func (r *rosterState) bars(now time.Time) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now.Sub(r.barredAt) > barLife {
		return nil
	}
	return r.barred
}

// barLife is how long a bar stays without word from the holder: an unload that it precedes has been
// sent by then, and the list shows it.
const barLife = 3 * time.Second

// age is how old the list may be.
func (r *rosterState) age(now time.Time) time.Duration {
	_, at := r.held()
	return now.Sub(at)
}
