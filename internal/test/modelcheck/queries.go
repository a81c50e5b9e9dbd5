package modelcheck

import (
	"maps"
	"slices"

	"ferryspar/internal/keystore"
)

// completeQuery ends a query of one round that a quorum agreed to. A digest that leaves something undecided may wait for
// more replies, as keystore.Store does; lingered says that it waits no more.
func (p *proposer) completeQuery(at view, lingered bool) outcome {
	switch p.task().Kind {
	case taskDigest:
		return p.completeDigest(at, lingered)
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

func (p *proposer) completeDigest(at view, lingered bool) outcome {
	digest := keystore.EvaluateDigest(p.Queried, p.Replies)
	if len(digest.Undecided) > 0 && !lingered {
		return outcome{}
	}
	result := outcome{acknowledgedAtStart: p.AcknowledgedAtStart}
	for _, key := range slices.Sorted(maps.Keys(digest.Committed)) {
		result.digested = append(result.digested, digest.Committed[key])
	}
	if p.keepsDigests {
		p.LastDigest = &validity{Started: p.Started, Answered: at.now}
	}
	p.finishTask()
	return result
}

// mayEndDigest says whether a digest may end now although something is undecided.
func (p *proposer) mayEndDigest(rules Rules) bool {
	if p.Phase != phaseQuerying || p.task().Kind != taskDigest {
		return false
	}
	agreed, _ := rules.CountVotes(p.Queried, p.Replies, func(_ string, reply keystore.Reply) bool { return reply.Granted })
	return agreed
}

// evaluateCatchUp looks at the replies to a catch-up so far.
func (p *proposer) evaluateCatchUp(at view) outcome {
	incarnation := at.own.localState.DiskIncarnation
	request := keystore.CatchUpRequest{Self: p.Machine, DiskIncarnation: incarnation, Membership: p.Queried}
	read, _, enough := keystore.EvaluateCatchUp(request, p.Replies, at.rules.EvaluateBootstrap)
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
