// Package retention holds how long cached context may live, and the records of what is to be
// forgotten.
//
// It drops nothing itself: data planes and the scheduler do, and tell it when they have. All of it
// is pure. Start reading at Record and Purge.
package retention

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/apierror"
)

// Policy bounds the life of cached context. LifetimeMs is milliseconds, 0 means no bound.
type Policy struct {
	Version    uint64 `json:"number"`
	LifetimeMs int64  `json:"lifeMs"`
}

// Scope says what to forget: context of a model or adapter, of a prompt part (its id in hex), of
// both together, or all if empty.
type Scope struct {
	Model      string `json:"model,omitempty"`
	PromptPart string `json:"part,omitempty"`
}

// Purge is one order to forget. Counted tells that the copies at replicas have been listed in
// Pairs.
type Purge struct {
	Number        uint64   `json:"number"`
	Scope         Scope    `json:"scope"`
	DataPlanes    []string `json:"edges"`
	TargetsListed bool     `json:"counted"`
	Targets       []Target `json:"pairs,omitempty"`
}

// Target is a copy of a model at a replica whose context is to go.
type Target struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	State   string `json:"state"`
}

// Record is what the key store keeps: the newest number and the last orders.
type Record struct {
	Number uint64  `json:"number"`
	Purges []Purge `json:"items"`
}

// States of a node or pair: not yet forgotten, forgotten, or no longer there.
const (
	Pending = "pending"
	Done    = "done"
	Gone    = "gone"
)

// Bounds of what is kept and may be asked for.
const (
	MinLifetime = time.Minute
	maxPurges   = 32
)

// Life returns the life as a duration.
func (p Policy) Lifetime() time.Duration { return time.Duration(p.LifetimeMs) * time.Millisecond }

// Check returns an error of kind apierror.InvalidRetention for a life that is too short.
func (p Policy) Check() error {
	if p.LifetimeMs < 0 || p.LifetimeMs > 0 && p.Lifetime() < MinLifetime {
		return apierror.New(apierror.InvalidRetention, "lifeMs must be 0 (no bound) or at least %d", MinLifetime.Milliseconds())
	}
	return nil
}

// Check returns an error of kind apierror.InvalidRetention for a part that is no id.
func (s Scope) Check() error {
	if s.PromptPart == "" {
		return nil
	}
	if _, err := strconv.ParseUint(s.PromptPart, 16, 64); err != nil {
		return apierror.New(apierror.InvalidRetention, "part %q is no prompt part id in hex", s.PromptPart)
	}
	return nil
}

// Covers tells whether the scope holds the context of a part under a reference, "model" or
// "model/adapter".
func (s Scope) Covers(reference string, part uint64) bool {
	base, _, _ := strings.Cut(reference, "/")
	if s.Model != "" && s.Model != base && s.Model != reference {
		return false
	}
	return s.PromptPart == "" || sameHex(s.PromptPart, part)
}

func sameHex(stated string, part uint64) bool {
	number, err := strconv.ParseUint(stated, 16, 64)
	return err == nil && number == part
}

// CoversModel tells whether replicas must drop context of model for the scope.
func (s Scope) CoversModel(model string) bool {
	base, _, _ := strings.Cut(s.Model, "/")
	return base == "" || base == model
}

// Add returns the record with one more order and that order. The oldest leave when there are too
// many.
func (r Record) Add(scope Scope, dataPlanes []string) (Record, Purge) {
	purge := Purge{Number: r.Number + 1, Scope: scope, DataPlanes: append([]string{}, dataPlanes...)}
	sort.Strings(purge.DataPlanes)
	next := Record{Number: purge.Number, Purges: append(append([]Purge{}, r.Purges...), purge)}
	for len(next.Purges) > maxPurges {
		next.Purges = next.Purges[1:]
	}
	return next, purge
}

// Change returns the record with change made to a copy of the numbered item, and what change
// returned; false if there is no such item.
func (r Record) UpdatePurge(number uint64, change func(purge *Purge) bool) (Record, bool) {
	next := Record{Number: r.Number, Purges: append([]Purge{}, r.Purges...)}
	for index := range next.Purges {
		if next.Purges[index].Number != number {
			continue
		}
		purge := next.Purges[index]
		purge.Targets = append([]Target{}, purge.Targets...)
		changed := change(&purge)
		next.Purges[index] = purge
		return next, changed
	}
	return r, false
}

// Open tells whether copies are still to be listed or to be dropped.
func (p Purge) HasPendingTargets() bool {
	if !p.TargetsListed {
		return true
	}
	for _, target := range p.Targets {
		if target.State == Pending {
			return true
		}
	}
	return false
}

// Settle sets the pending pairs of a replica and model (any model if empty) to state and tells
// whether any changed.
func (p *Purge) ResolveTargets(replica, model, state string) bool {
	changed := false
	for index := range p.Targets {
		target := &p.Targets[index]
		if target.Replica == replica && (model == "" || target.Model == model) && target.State == Pending {
			target.State = state
			changed = true
		}
	}
	return changed
}
