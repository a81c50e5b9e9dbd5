package modelcheck

import (
	"maps"
	"slices"

	"ferryspar/internal/keystore"
)

// completeQuery completes a query of one round after a quorum has agreed. A digest with undecided keys may wait for more
// replies, as in keystore.Store, unless stopWaiting is set.
func (p *proposer) completeQuery(view proposerView, stopWaiting bool) outcome {
	switch p.task().Kind {
	case taskDigest:
		return p.completeDigest(view, stopWaiting)
	case taskRead:
		result := outcome{
			committed:           p.committedValues(p.Ownership.Current().Accepted),
			acknowledgedAtStart: p.AcknowledgedAtStart,
		}
		p.finishTask()
		return result
	case taskRenew:
		if p.Lease != nil {
			renewed := *p.Lease
			renewed.Started, renewed.Until = p.Started, p.Started.Add(p.leaseDuration)
			p.Lease = &renewed
		}
	}
	p.finishTask()
	return outcome{}
}

func (p *proposer) completeDigest(view proposerView, stopWaiting bool) outcome {
	digest := keystore.EvaluateDigest(p.Queried, p.Replies)
	if len(digest.Undecided) > 0 && !stopWaiting {
		return outcome{}
	}
	result := outcome{acknowledgedAtStart: p.AcknowledgedAtStart}
	for _, key := range slices.Sorted(maps.Keys(digest.Committed)) {
		result.digestProposals = append(result.digestProposals, digest.Committed[key])
	}
	if p.keepsDigests {
		p.LastDigest = &validity{Started: p.Started, Answered: view.now}
	}
	p.finishTask()
	return result
}

// mayEndDigest reports whether a digest may end now although some keys are undecided.
func (p *proposer) mayEndDigest(rules Rules) bool {
	if p.Phase != phaseQuerying || p.task().Kind != taskDigest {
		return false
	}
	agreed, _ := rules.CountVotes(p.Queried, p.Replies, func(_ string, reply keystore.Reply) bool { return reply.Granted })
	return agreed
}

// evaluateCatchUp evaluates the replies received so far to a catch-up.
func (p *proposer) evaluateCatchUp(view proposerView) outcome {
	incarnation := view.own.localState.DiskIncarnation
	request := keystore.CatchUpRequest{Self: p.Machine, DiskIncarnation: incarnation, Membership: p.Queried}
	read, _, enough := keystore.EvaluateCatchUp(request, p.Replies, view.rules.EvaluateBootstrap)
	if !enough {
		return outcome{}
	}
	if p.Membership.Version != p.VersionAtStart {
		p.failAttempt()
		return outcome{}
	}
	install := packet{
		Member:      p.Machine,
		Proposer:    p.Index,
		Incarnation: p.Incarnation,
		Round:       p.Round,
		Install:     &read,
	}
	p.failAttempt()
	return outcome{packets: []packet{install}}
}
