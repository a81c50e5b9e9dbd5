package explore

import (
	"ferryspar/internal/keystore"
)

// start begins the next task; false says that it cannot begin.
func (p *proposer) start(at view) (*proposer, outcome, bool) {
	next := p.clone()
	next.Began = at.now
	task := next.task()
	held := next.Held != "" && next.Held == task.Key
	switch task.Kind {
	case taskCatchUp:
		return next.startCatchUp(at)
	case taskLook:
		next.Floor = at.acknowledged
		return next, outcome{packets: next.ask(phaseAsking, keystore.Message{Operation: keystore.OperationDigest})}, true
	case taskRead, taskRenew, taskRelease:
		if !held {
			next.finish()
			return next, outcome{}, true
		}
		return next.startOwned(at)
	}
	if held && task.Kind != taskSeize {
		return next, next.decide(at, outcome{}), true
	}
	result := next.take(at)
	return next, result, true
}

func (p *proposer) startCatchUp(at view) (*proposer, outcome, bool) {
	asked := p.catchUpFrom()
	if at.own == nil || at.own.self.Voting || !asked.Has(p.Machine) {
		return nil, outcome{}, false
	}
	message := keystore.Message{Operation: keystore.OperationCatchUp, Incarnation: at.own.self.Incarnation}
	packets := p.askFrom(asked, phaseAsking, message)
	p.AskedUnder = p.Members.Number
	return p, outcome{packets: packets}, true
}

// catchUpFrom is the list known or, while there is none, that of the founders.
func (p *proposer) catchUpFrom() keystore.Members {
	if p.Members.Number == 0 {
		return p.founding
	}
	return p.Members
}

func (p *proposer) startOwned(at view) (*proposer, outcome, bool) {
	operation := keystore.OperationRenew
	switch p.task().Kind {
	case taskRelease:
		operation = keystore.OperationRelease
		p.Lease = nil
	case taskRead:
		p.Floor = at.acknowledged
	}
	ballot := p.Ballots[len(p.Ballots)-1]
	message := keystore.Message{Operation: operation, Key: p.Held, Ballot: ballot}
	return p, outcome{packets: p.ask(phaseAsking, message)}, true
}

// take makes one attempt to own the key.
func (p *proposer) take(at view) outcome {
	p.Seen++
	ballot := at.rules.Ballot(p.Seen, p.Machine, p.Life)
	p.Ballots = append(p.Ballots, ballot)
	p.Held = ""
	return outcome{ballot: ballot, packets: p.ask(phasePromising, keystore.PromiseMessage(p.task().Key, ballot))}
}

// receive takes a reply; one to an earlier round only tells of ballots and of the list.
func (p *proposer) receive(at view, one packet) (*proposer, outcome) {
	next := p.clone()
	if !next.lastTake() {
		next.Seen = max(next.Seen, one.Reply.Slot.Promised.Round)
	}
	next.adopt(one.Reply.Members)
	if one.Life != next.Life || one.Round != next.Round || next.Phase == phaseIdle {
		return next, outcome{}
	}
	next.Replies[one.Member] = next.relevant(*one.Reply)
	return next, next.judge(at)
}

// relevant leaves out what the round does not look at, so that replies that differ only there
// make one state.
func (p *proposer) relevant(reply keystore.Reply) keystore.Reply {
	if p.task().Kind != taskCatchUp {
		reply.Members = keystore.Members{}
	}
	reply.Slot.Promised = keystore.Ballot{}
	if p.Phase != phasePromising || !reply.Granted {
		reply.Slot = keystore.Slot{}
	}
	return reply
}

// lastTake says that the proposer takes no key any more, and that nothing follows if it gives
// up: to all others that is the same as waiting on for replies that never come.
func (p *proposer) lastTake() bool {
	return len(p.Tasks) == 1 && p.Tasks[0].Attempts <= 1 && p.Phase != phaseIdle
}

// judge looks at the replies so far.
func (p *proposer) judge(at view) outcome {
	task := p.task()
	if task.Kind == taskCatchUp {
		return p.judgeCatchUp(at)
	}
	agreed, possible := at.rules.Agreed(p.Asked, p.Replies, p.agrees(at))
	switch {
	case agreed && p.Phase == phaseAsking:
		return p.answered(at, false)
	case agreed:
		return p.advance(at)
	case !possible:
		p.fail()
	}
	return outcome{}
}

func (p *proposer) agrees(at view) func(string, keystore.Reply) bool {
	if p.Phase == phaseRecommitting || p.Phase == phaseWriting {
		return func(address string, reply keystore.Reply) bool { return at.rules.Accepts(p.Owner, address, reply) }
	}
	if p.Phase == phasePromising {
		return func(address string, _ keystore.Reply) bool { return keystore.Promises(p.Replies, address) }
	}
	return func(_ string, reply keystore.Reply) bool { return reply.Granted }
}

func (p *proposer) advance(at view) outcome {
	switch p.Phase {
	case phasePromising:
		ballot := p.Ballots[len(p.Ballots)-1]
		p.Owner = keystore.Owned(p.task().Key, ballot, p.Replies)
		if at.rules.Carries(p.Owner) {
			return outcome{packets: p.ask(phaseRecommitting, p.Owner.AcceptMessage(p.Owner.InForce()))}
		}
		p.Held = p.task().Key
		return p.decide(at, outcome{concluded: p.concludes(ballot)})
	case phaseRecommitting:
		p.Held = p.task().Key
		return p.decide(at, outcome{concluded: p.concludes(p.Owner.InForce().Ballot)})
	default:
		p.Owner = p.Owner.Wrote(p.Writing)
		result := outcome{concluded: p.concludes(p.Writing.Ballot)}
		return p.complete(at, result)
	}
}

// concludes is the value in force as something to be held against all others. That there is none
// is not held against them: a value of a lower ballot may still become certain before this
// owner writes, in which case the write fails.
func (p *proposer) concludes(ballot keystore.Ballot) []conclusion {
	slot := p.Owner.InForce()
	if !slot.Accepted() {
		return nil
	}
	return []conclusion{{Key: slot.Key, Ballot: ballot, Sequence: slot.Sequence, Value: slot.Value}}
}

func (p *proposer) decide(at view, result outcome) outcome {
	value, done, refused := p.task().decide(p.Owner.InForce().Value)
	switch {
	case done:
		return p.complete(at, result)
	case refused:
		p.finish()
		return result
	}
	p.Writing = p.Owner.Next(value)
	result.packets = append(result.packets, p.ask(phaseWriting, p.Owner.AcceptMessage(p.Writing))...)
	return result
}

// complete acknowledges the task whose value is in force.
func (p *proposer) complete(at view, result outcome) outcome {
	task := p.task()
	switch task.Kind {
	case taskChange:
		result.acknowledged = task.Mark
	case taskMembers:
		p.adopt(task.List)
	case taskSeize:
		result.acknowledged = task.Mark
		p.Lease = &hold{Began: p.Began, Answered: at.now, Until: p.Began.Add(p.length), Key: task.Key}
	}
	p.finish()
	return result
}
