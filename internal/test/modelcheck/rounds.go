package modelcheck

import (
	"ferryspar/internal/keystore"
)

// start starts the next task. It returns false if the task cannot start.
func (p *proposer) start(view proposerView) (*proposer, outcome, bool) {
	next := p.clone()
	next.Started = view.now
	task := next.task()
	owned := next.OwnedKey != "" && next.OwnedKey == task.Key
	switch task.Kind {
	case taskCatchUp:
		return next.startCatchUp(view)
	case taskDigest:
		next.AcknowledgedAtStart = view.acknowledged
		packets := next.startRound(phaseQuerying, keystore.Message{Operation: keystore.OperationDigest})
		return next, outcome{packets: packets}, true
	case taskRead, taskRenew, taskRelease:
		if !owned {
			next.finishTask()
			return next, outcome{}, true
		}
		return next.startAsOwner(view)
	}
	if task.Kind == taskRollback && !next.Membership.IsJoint() {
		next.finishTask()
		return next, outcome{}, true
	}
	if owned && task.Kind != taskAcquire {
		return next, next.propose(view, outcome{}), true
	}
	result := next.prepare(view)
	return next, result, true
}

func (p *proposer) startCatchUp(view proposerView) (*proposer, outcome, bool) {
	queried := p.catchUpMembership()
	if view.own == nil || view.own.localState.Voting || !queried.Contains(p.Machine) {
		return nil, outcome{}, false
	}
	message := keystore.Message{
		Operation:       keystore.OperationCatchUp,
		DiskIncarnation: view.own.localState.DiskIncarnation,
	}
	packets := p.startRoundWith(queried, phaseQuerying, message)
	p.VersionAtStart = p.Membership.Version
	return p, outcome{packets: packets}, true
}

// catchUpMembership returns the known membership or, if there is none, that of the bootstrap.
func (p *proposer) catchUpMembership() keystore.Membership {
	if p.Membership.Version == 0 {
		return p.bootstrapMembership
	}
	return p.Membership
}

func (p *proposer) startAsOwner(view proposerView) (*proposer, outcome, bool) {
	operation := keystore.OperationRenew
	switch p.task().Kind {
	case taskRelease:
		operation = keystore.OperationRelease
		p.Lease = nil
	case taskRead:
		p.AcknowledgedAtStart = view.acknowledged
	}
	proposal := p.Proposals[len(p.Proposals)-1]
	message := keystore.Message{Operation: operation, Key: p.OwnedKey, Proposal: proposal}
	return p, outcome{packets: p.startRound(phaseQuerying, message)}, true
}

// prepare starts an attempt to become the owner of the task's key.
func (p *proposer) prepare(view proposerView) outcome {
	p.HighestRound++
	proposal := view.rules.ProposalNumber(p.HighestRound, p.Machine, p.Incarnation)
	p.Proposals = append(p.Proposals, proposal)
	p.OwnedKey = ""
	return outcome{
		proposal: proposal,
		packets:  p.startRoundWith(p.electorate(view), phasePreparing, keystore.PrepareMessage(p.task().Key, proposal)),
	}
}

// electorate returns the membership whose votes decide on the task.
func (p *proposer) electorate(view proposerView) keystore.Membership {
	if p.task().Kind == taskRollback {
		return view.rules.RollbackElectorate(p.Membership)
	}
	return p.Membership
}

// receive processes a reply. A reply to an earlier round contributes only its proposal number and membership.
func (p *proposer) receive(view proposerView, message packet) (*proposer, outcome) {
	next := p.clone()
	if !next.onLastAttempt() {
		next.HighestRound = max(next.HighestRound, message.Reply.Register.Promised.Round)
	}
	next.adopt(message.Reply.Membership)
	if message.Incarnation != next.Incarnation || message.Round != next.Round || next.Phase == phaseIdle {
		return next, outcome{}
	}
	next.Replies[message.Member] = next.normalizeReply(*message.Reply)
	return next, next.evaluateReplies(view)
}

// normalizeReply clears the fields that the current round does not use, so that replies that differ only there lead to one
// state.
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

// onLastAttempt reports whether the proposer is on the last attempt of its last task. It will not become the owner of a key
// again, and abandoning the attempt has no effect: to all others it is the same as waiting for replies that never arrive.
func (p *proposer) onLastAttempt() bool {
	return len(p.Tasks) == 1 && p.Tasks[0].Attempts <= 1 && p.Phase != phaseIdle
}

// evaluateReplies evaluates the replies received so far.
func (p *proposer) evaluateReplies(view proposerView) outcome {
	task := p.task()
	if task.Kind == taskCatchUp {
		return p.evaluateCatchUp(view)
	}
	agreed, possible := view.rules.CountVotes(p.Queried, p.Replies, p.voteFunc(view))
	switch {
	case agreed && p.Phase == phaseQuerying:
		return p.completeQuery(view, false)
	case agreed:
		return p.completePhase(view)
	case !possible:
		p.failAttempt()
	}
	return outcome{}
}

// voteFunc returns the function that decides which replies count as agreement in the current phase.
func (p *proposer) voteFunc(view proposerView) keystore.VoteFunc {
	if p.Phase == phaseRecommitting || p.Phase == phaseWriting {
		return func(address string, reply keystore.Reply) bool {
			return view.rules.CountsAcceptance(p.Ownership, address, reply)
		}
	}
	if p.Phase == phasePreparing {
		return func(address string, _ keystore.Reply) bool { return keystore.CountsPromise(p.Replies, address) }
	}
	return func(_ string, reply keystore.Reply) bool { return reply.Granted }
}

// completePhase moves to the next phase after a quorum has agreed.
func (p *proposer) completePhase(view proposerView) outcome {
	switch p.Phase {
	case phasePreparing:
		proposal := p.Proposals[len(p.Proposals)-1]
		p.Ownership = keystore.NewOwnership(p.task().Key, proposal, p.Replies)
		if p.task().Kind == taskRollback {
			return p.proposeRollback(view)
		}
		if view.rules.NeedsRecommit(p.Ownership) {
			return outcome{packets: p.startRound(phaseRecommitting, p.Ownership.AcceptMessage(p.Ownership.Current()))}
		}
		p.OwnedKey = p.task().Key
		return p.propose(view, outcome{committed: p.committedValues(proposal)})
	case phaseRecommitting:
		p.OwnedKey = p.task().Key
		return p.propose(view, outcome{committed: p.committedValues(p.Ownership.Current().Accepted)})
	default:
		p.Ownership = p.Ownership.WithCommitted(p.Proposed)
		result := outcome{committed: p.committedValues(p.Proposed.Accepted)}
		return p.acknowledge(view, result)
	}
}

// proposeRollback writes the membership that rolls the joint one back, unless the joint one may have been completed.
func (p *proposer) proposeRollback(view proposerView) outcome {
	proposed, err := view.rules.ProposeRollback(p.Ownership, p.Membership)
	if err != nil {
		p.finishTask()
		return outcome{}
	}
	p.Proposed = proposed
	return outcome{packets: p.startRoundWith(p.electorate(view), phaseWriting, p.Ownership.AcceptMessage(proposed))}
}

// committedValues returns the owned key's current value, to be checked against the other committed values. The absence of a
// value is not checked: a value with a lower proposal number may still be committed before this owner writes, in which case
// the write fails.
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

// propose writes the value that the task derives from the current one, unless the task has taken effect or is rejected.
func (p *proposer) propose(view proposerView, result outcome) outcome {
	value, done, rejected := p.task().nextValue(p.Ownership.Current().Value)
	switch {
	case done:
		return p.acknowledge(view, result)
	case rejected:
		p.finishTask()
		return result
	}
	p.Proposed = p.Ownership.NextProposal(value)
	result.packets = append(result.packets, p.startRound(phaseWriting, p.Ownership.AcceptMessage(p.Proposed))...)
	return result
}

// acknowledge completes the task once its value is committed.
func (p *proposer) acknowledge(view proposerView, result outcome) outcome {
	task := p.task()
	switch task.Kind {
	case taskChange:
		result.acknowledged = task.Label
	case taskMembership, taskRollback:
		p.adopt(decodeMembership(p.Ownership.Current().Value))
	case taskAcquire:
		result.acknowledged = task.Label
		p.Lease = &validity{
			Started:  p.Started,
			Answered: view.now,
			Until:    p.Started.Add(p.leaseDuration),
			Key:      task.Key,
		}
	}
	p.finishTask()
	return result
}
