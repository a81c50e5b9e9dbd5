package modelcheck

import (
	"ferryspar/internal/keystore"
)

// start begins the next task; false says that it cannot begin.
func (p *proposer) start(at view) (*proposer, outcome, bool) {
	next := p.clone()
	next.Started = at.now
	task := next.task()
	owned := next.OwnedKey != "" && next.OwnedKey == task.Key
	switch task.Kind {
	case taskCatchUp:
		return next.startCatchUp(at)
	case taskDigest:
		next.AcknowledgedAtStart = at.acknowledged
		packets := next.startRound(phaseQuerying, keystore.Message{Operation: keystore.OperationDigest})
		return next, outcome{packets: packets}, true
	case taskRead, taskRenew, taskRelease:
		if !owned {
			next.finishTask()
			return next, outcome{}, true
		}
		return next.startAsOwner(at)
	}
	if task.Kind == taskTakeBack && !next.Membership.IsJoint() {
		next.finishTask()
		return next, outcome{}, true
	}
	if owned && task.Kind != taskAcquire {
		return next, next.propose(at, outcome{}), true
	}
	result := next.prepare(at)
	return next, result, true
}

func (p *proposer) startCatchUp(at view) (*proposer, outcome, bool) {
	queried := p.catchUpMembership()
	if at.own == nil || at.own.localState.Voting || !queried.Contains(p.Machine) {
		return nil, outcome{}, false
	}
	message := keystore.Message{
		Operation:       keystore.OperationCatchUp,
		DiskIncarnation: at.own.localState.DiskIncarnation,
	}
	packets := p.startRoundWith(queried, phaseQuerying, message)
	p.VersionAtStart = p.Membership.Version
	return p, outcome{packets: packets}, true
}

// catchUpMembership is the one known or, while there is none, that of the bootstrap.
func (p *proposer) catchUpMembership() keystore.Membership {
	if p.Membership.Version == 0 {
		return p.bootstrapMembership
	}
	return p.Membership
}

func (p *proposer) startAsOwner(at view) (*proposer, outcome, bool) {
	operation := keystore.OperationRenew
	switch p.task().Kind {
	case taskRelease:
		operation = keystore.OperationRelease
		p.Lease = nil
	case taskRead:
		p.AcknowledgedAtStart = at.acknowledged
	}
	proposal := p.Proposals[len(p.Proposals)-1]
	message := keystore.Message{Operation: operation, Key: p.OwnedKey, Proposal: proposal}
	return p, outcome{packets: p.startRound(phaseQuerying, message)}, true
}

// prepare makes one attempt to own the key.
func (p *proposer) prepare(at view) outcome {
	p.HighestRound++
	proposal := at.rules.ProposalNumber(p.HighestRound, p.Machine, p.Incarnation)
	p.Proposals = append(p.Proposals, proposal)
	p.OwnedKey = ""
	return outcome{
		proposal: proposal,
		packets:  p.startRoundWith(p.electorate(at), phasePreparing, keystore.PrepareMessage(p.task().Key, proposal)),
	}
}

// electorate is the membership under which the votes on the task are counted.
func (p *proposer) electorate(at view) keystore.Membership {
	if p.task().Kind == taskTakeBack {
		return at.rules.RollbackElectorate(p.Membership)
	}
	return p.Membership
}

// receive takes a reply; one to an earlier round only counts for its proposal number and membership.
func (p *proposer) receive(at view, message packet) (*proposer, outcome) {
	next := p.clone()
	if !next.onLastAttempt() {
		next.HighestRound = max(next.HighestRound, message.Reply.Register.Promised.Round)
	}
	next.adopt(message.Reply.Membership)
	if message.Incarnation != next.Incarnation || message.Round != next.Round || next.Phase == phaseIdle {
		return next, outcome{}
	}
	next.Replies[message.Member] = next.normalizeReply(*message.Reply)
	return next, next.evaluateReplies(at)
}

// normalizeReply leaves out what the round does not look at, so that replies that differ only there make one state.
func (p *proposer) normalizeReply(reply keystore.Reply) keystore.Reply {
	if p.task().Kind != taskCatchUp {
		reply.Membership = keystore.Membership{}
	}
	reply.Register.Promised = keystore.ProposalNumber{}
	if p.Phase != phasePreparing || !reply.Granted {
		reply.Register = keystore.Register{}
	}
	return reply
}

// onLastAttempt says that the proposer becomes the owner of no key any more, and that nothing follows if it gives up: to
// all others that is the same as waiting on for replies that never come.
func (p *proposer) onLastAttempt() bool {
	return len(p.Tasks) == 1 && p.Tasks[0].Attempts <= 1 && p.Phase != phaseIdle
}

// evaluateReplies looks at the replies so far.
func (p *proposer) evaluateReplies(at view) outcome {
	task := p.task()
	if task.Kind == taskCatchUp {
		return p.evaluateCatchUp(at)
	}
	agreed, possible := at.rules.CountVotes(p.Queried, p.Replies, p.voteFunc(at))
	switch {
	case agreed && p.Phase == phaseQuerying:
		return p.completeQuery(at, false)
	case agreed:
		return p.completePhase(at)
	case !possible:
		p.failAttempt()
	}
	return outcome{}
}

// voteFunc says which replies count as agreement in the present phase.
func (p *proposer) voteFunc(at view) keystore.VoteFunc {
	if p.Phase == phaseRecommitting || p.Phase == phaseWriting {
		return func(address string, reply keystore.Reply) bool {
			return at.rules.CountsAcceptance(p.Ownership, address, reply)
		}
	}
	if p.Phase == phasePreparing {
		return func(address string, _ keystore.Reply) bool { return keystore.CountsPromise(p.Replies, address) }
	}
	return func(_ string, reply keystore.Reply) bool { return reply.Granted }
}

// completePhase goes on after a quorum has agreed.
func (p *proposer) completePhase(at view) outcome {
	switch p.Phase {
	case phasePreparing:
		proposal := p.Proposals[len(p.Proposals)-1]
		p.Ownership = keystore.NewOwnership(p.task().Key, proposal, p.Replies)
		if p.task().Kind == taskTakeBack {
			return p.proposeTakeBack(at)
		}
		if at.rules.NeedsRecommit(p.Ownership) {
			return outcome{packets: p.startRound(phaseRecommitting, p.Ownership.AcceptMessage(p.Ownership.Current()))}
		}
		p.OwnedKey = p.task().Key
		return p.propose(at, outcome{committed: p.committedValues(proposal)})
	case phaseRecommitting:
		p.OwnedKey = p.task().Key
		return p.propose(at, outcome{committed: p.committedValues(p.Ownership.Current().Accepted)})
	default:
		p.Ownership = p.Ownership.WithCommitted(p.Proposed)
		result := outcome{committed: p.committedValues(p.Proposed.Accepted)}
		return p.acknowledge(at, result)
	}
}

// proposeTakeBack writes the membership that ends the joint one, unless that may be completed.
func (p *proposer) proposeTakeBack(at view) outcome {
	proposed, err := at.rules.ProposeRollback(p.Ownership, p.Membership)
	if err != nil {
		p.finishTask()
		return outcome{}
	}
	p.Proposed = proposed
	return outcome{packets: p.startRoundWith(p.electorate(at), phaseWriting, p.Ownership.AcceptMessage(proposed))}
}

// committedValues is the value in force as something to be compared with all others. That there is none is not compared: a
// value of a lower proposal number may still become certain before this owner writes, in which case the write fails.
func (p *proposer) committedValues(proposal keystore.ProposalNumber) []committedValue {
	register := p.Ownership.Current()
	if !register.IsAccepted() {
		return nil
	}
	return []committedValue{{
		Key:      register.Key,
		Proposal: proposal,
		Sequence: register.Sequence,
		Value:    register.Value,
	}}
}

// propose writes what the task makes of the value in force, if that is still to be done.
func (p *proposer) propose(at view, result outcome) outcome {
	value, done, rejected := p.task().nextValue(p.Ownership.Current().Value)
	switch {
	case done:
		return p.acknowledge(at, result)
	case rejected:
		p.finishTask()
		return result
	}
	p.Proposed = p.Ownership.NextProposal(value)
	result.packets = append(result.packets, p.startRound(phaseWriting, p.Ownership.AcceptMessage(p.Proposed))...)
	return result
}

// acknowledge ends the task whose value is in force.
func (p *proposer) acknowledge(at view, result outcome) outcome {
	task := p.task()
	switch task.Kind {
	case taskChange:
		result.acknowledged = task.Label
	case taskMembership, taskTakeBack:
		p.adopt(decodeMembership(p.Ownership.Current().Value))
	case taskAcquire:
		result.acknowledged = task.Label
		p.Lease = &validity{
			Started:  p.Started,
			Answered: at.now,
			Until:    p.Started.Add(p.leaseDuration),
			Key:      task.Key,
		}
	}
	p.finishTask()
	return result
}
