package routing

import "time"

// maxForgetRules limits the number of forget rules that are kept.
const maxForgetRules = 64

// forgetRule prevents requests that arrived before a call of Forget from adding matching entries again: their
// prompts may be sent, and so recorded, after the call.
type forgetRule struct {
	arrivedBefore time.Time
	matches       func(model string, part uint64) bool
}

// forgetRules are the most recent rules of a ledger, oldest first.
type forgetRules []forgetRule

// add appends a rule and drops the oldest one beyond maxForgetRules.
func (r *forgetRules) add(rule forgetRule) {
	*r = append(*r, rule)
	if len(*r) > maxForgetRules {
		*r = (*r)[1:]
	}
}

// covers reports whether a rule covers the prompt of a request that arrived at the given time.
func (r forgetRules) covers(model string, parts []PromptPart, arrived time.Time) bool {
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
