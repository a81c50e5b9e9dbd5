package routing

import "time"

// maxForgetRules is how many of the last forgets are remembered.
const maxForgetRules = 64

// forgetRule keeps requests that arrived before a forget from adding matching entries again: their prompts
// may be sent, and so recorded, only after it.
type forgetRule struct {
	arrivedBefore time.Time
	matches       func(model string, part uint64) bool
}

// forgetRules are the last forgets of a ledger.
type forgetRules []forgetRule

// add appends a rule and drops the oldest one beyond maxForgetRules.
func (r *forgetRules) add(rule forgetRule) {
	*r = append(*r, rule)
	if len(*r) > maxForgetRules {
		*r = (*r)[1:]
	}
}

// apply reports whether a prompt of a request that arrived at that time was forgotten since.
func (r forgetRules) apply(model string, parts []PromptPart, arrived time.Time) bool {
	for _, rule := range r {
		if !arrived.Before(rule.arrivedBefore) {
			continue
		}
		for _, part := range parts {
			if rule.matches(model, part.ID) {
				return true
			}
		}
	}
	return false
}
