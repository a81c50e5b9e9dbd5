package modelcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// phase is where a proposer is in its task.
type phase string

// The phases, as traces show them.
const (
	phaseIdle         phase = "idle"
	phasePreparing    phase = "promising"
	phaseRecommitting phase = "recommitting"
	phaseWriting      phase = "writing"
	// phaseQuerying is a query of one round: a digest, a read, a renewal, a release, a catch-up.
	phaseQuerying phase = "asking"
)

// validity is that of a lease as its holder counts it, or of a digest. The times are by the clock that Rules.Clock gives.
type validity struct {
	Started  time.Time
	Answered time.Time
	Until    time.Time
	Key      string
	Value    json.RawMessage
}

// proposer is one incarnation of a keystore.Store, with the calls that are still to come.
type proposer struct {
	Machine     string
	Index       int
	Incarnation uint64
	// Proposals holds the numbers used so far, of former incarnations too.
	Proposals []keystore.ProposalNumber
	// HighestRound is that of any proposal number that this incarnation has seen.
	HighestRound uint64
	Membership   keystore.Membership
	Tasks        []Task

	Phase   phase
	Round   int
	Queried keystore.Membership
	// VersionAtStart is that of the membership known when a catch-up began.
	VersionAtStart uint64
	Replies        map[string]keystore.Reply
	Started        time.Time
	// AcknowledgedAtStart is what was acknowledged when the present digest or read began.
	AcknowledgedAtStart []string

	OwnedKey  string
	Ownership keystore.Ownership `json:"-"`
	Proposed  keystore.Register
	Lease     *validity
	// LastDigest is kept where its freshness is judged.
	LastDigest *validity

	// bootstrapMembership is the one that is queried while none is known.
	bootstrapMembership keystore.Membership
	leaseDuration       time.Duration
	reachable           []string
	keepsDigests        bool
}

// unencodedProposerState is what distinguishes proposers besides their JSON.
func unencodedProposerState(p *proposer) string { return fmt.Sprint(p.Ownership) }

// outcome is what follows from an event at a proposer besides its new state.
type outcome struct {
	packets   []packet
	committed []committedValue
	// digested holds proposals that a digest calls committed, to be fetched.
	digested            []keystore.Register
	acknowledgedAtStart []string
	acknowledged        string
	proposal            keystore.ProposalNumber
}

// view is what a proposer may look at besides its own state.
type view struct {
	rules Rules
	// now is by the clock of the proposer's machine.
	now time.Time
	// acknowledged lists the labels of the changes acknowledged so far.
	acknowledged []string
	// own is the member on the proposer's machine, if there is one.
	own *member
}

func (p *proposer) clone() *proposer {
	copied := *p
	copied.Replies = maps.Clone(p.Replies)
	copied.Proposals = slices.Clone(p.Proposals)
	return &copied
}

func (p *proposer) task() Task { return p.Tasks[0] }

func (p *proposer) done() bool { return len(p.Tasks) == 0 }

// resetRound leaves the round; replies to it count no more.
func (p *proposer) resetRound() {
	p.Phase, p.Replies, p.Queried = phaseIdle, nil, keystore.Membership{}
	p.VersionAtStart = 0
	p.Started, p.AcknowledgedAtStart, p.Proposed = time.Time{}, nil, keystore.Register{}
}

// finishTask goes on to the next task. After the last one nothing is remembered, so that proposers that are done are one
// state.
func (p *proposer) finishTask() {
	p.resetRound()
	p.Tasks = p.Tasks[1:]
	if len(p.Tasks) == 0 {
		p.Tasks = nil
		p.OwnedKey, p.Ownership = "", keystore.Ownership{}
	}
}

// failAttempt ends an attempt; the task is dropped once its attempts are used up.
func (p *proposer) failAttempt() {
	p.resetRound()
	p.OwnedKey, p.Ownership = "", keystore.Ownership{}
	current := p.task()
	current.Attempts--
	if current.Attempts <= 0 {
		p.finishTask()
		return
	}
	p.Tasks = append([]Task{current}, p.Tasks[1:]...)
}

// restart is the next incarnation: it knows its calls, since callers send them again, and the membership.
func (p *proposer) restart(membership keystore.Membership) *proposer {
	next := &proposer{
		Machine:             p.Machine,
		Index:               p.Index,
		Incarnation:         p.Incarnation + 1,
		Proposals:           p.Proposals,
		Membership:          p.Membership,
		Tasks:               p.Tasks,
		Phase:               phaseIdle,
		bootstrapMembership: p.bootstrapMembership,
		leaseDuration:       p.leaseDuration,
		reachable:           p.reachable,
		keepsDigests:        p.keepsDigests,
	}
	if membership.Version > 0 {
		next.Membership = membership
	}
	return next
}

func (p *proposer) adopt(membership keystore.Membership) {
	if membership.Version > p.Membership.Version {
		p.Membership = membership
	}
}

// startRound begins a round: one request to each member.
func (p *proposer) startRound(next phase, message keystore.Message) []packet {
	return p.startRoundWith(p.Membership, next, message)
}

// startRoundWith sends the request to the members of a membership that need not be the one known to be in force.
func (p *proposer) startRoundWith(queried keystore.Membership, next phase, message keystore.Message) []packet {
	p.Phase, p.Queried, p.Replies = next, queried, map[string]keystore.Reply{}
	p.Round++
	message.Sender, message.Membership = p.Machine, p.Membership
	var packets []packet
	for _, address := range p.Queried.All() {
		if len(p.reachable) > 0 && !slices.Contains(p.reachable, address) {
			continue
		}
		packets = append(packets, packet{
			Member:      address,
			Proposer:    p.Index,
			Incarnation: p.Incarnation,
			Round:       p.Round,
			Request:     &message,
		})
	}
	return packets
}
