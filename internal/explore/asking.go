package explore

import (
	"maps"
	"slices"

	"ferryspar/internal/keystore"
)

// answered ends a question of one round that a quorum agreed to. A look that leaves something
// unsettled may wait for more replies, as Store does; patient says that it waits no more.
func (p *proposer) answered(at view, patient bool) outcome {
	switch p.task().Kind {
	case taskLook:
		return p.look(at, patient)
	case taskRead:
		result := outcome{concluded: p.concludes(p.Owner.InForce().Ballot), floor: p.Floor}
		p.finish()
		return result
	case taskRenew:
		if p.Lease != nil {
			renewed := *p.Lease
			renewed.Began, renewed.Until = p.Began, p.Began.Add(p.length)
			p.Lease = &renewed
		}
	}
	p.finish()
	return outcome{}
}

func (p *proposer) look(at view, patient bool) outcome {
	digest := keystore.ConcludeDigest(p.Asked, p.Replies)
	if len(digest.Unsettled) > 0 && !patient {
		return outcome{}
	}
	result := outcome{floor: p.Floor}
	for _, key := range slices.Sorted(maps.Keys(digest.Committed)) {
		result.looked = append(result.looked, digest.Committed[key])
	}
	if p.keepsLooks {
		p.Looked = &hold{Began: p.Began, Answered: at.now}
	}
	p.finish()
	return result
}

// settles says whether a look may end now although something is unsettled.
func (p *proposer) settles(rules Rules) bool {
	if p.Phase != phaseAsking || p.task().Kind != taskLook {
		return false
	}
	agreed, _ := rules.Agreed(p.Asked, p.Replies, func(_ string, reply keystore.Reply) bool { return reply.Granted })
	return agreed
}

func (p *proposer) judgeCatchUp(at view) outcome {
	incarnation := at.own.self.Incarnation
	question := keystore.CatchUpQuestion{Self: p.Machine, Incarnation: incarnation, Members: p.Asked}
	read, _, enough := keystore.ConcludeCatchUp(question, p.Replies, at.rules.Founding)
	if !enough {
		return outcome{}
	}
	if p.Members.Number != p.AskedUnder {
		p.fail()
		return outcome{}
	}
	install := packet{Member: p.Machine, Proposer: p.Index, Life: p.Life, Round: p.Round, Install: &read}
	p.fail()
	return outcome{packets: []packet{install}}
}
