package modelcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// phase is the protocol phase that a proposer is in.
type phase string

// The phases, as traces show them.
const (
	phaseIdle         phase = "idle"
	phasePreparing    phase = "promising"
	phaseRecommitting phase = "recommitting"
	phaseWriting      phase = "writing"
	// phaseQuerying is the only round of a digest, read, renewal, release or catch-up.
	phaseQuerying phase = "asking"
)

// validity is the validity period of a lease, as its holder measures it, or of a digest. The times are those of Rules.Clock.
type validity struct {
	Started  time.Time
	Answered time.Time
	Until    time.Time
	Key      string
	Value    json.RawMessage
}

// proposer models one incarnation of a keystore.Store and the calls that are still to be made to it.
type proposer struct {
	Machine     string
	Index       int
	Incarnation uint64
	// Proposals holds the proposal numbers used so far, including those of former incarnations.
	Proposals []keystore.ProposalNumber
	// HighestRound is the highest round of any proposal number that this incarnation has seen.
	HighestRound uint64
	Membership   keystore.Membership
	Tasks        []Task

	Phase   phase
	Round   int
	Queried keystore.Membership
	// VersionAtStart is the version of the membership that was known when a catch-up began.
	VersionAtStart uint64
	Replies        map[string]keystore.Reply
	Started        time.Time
	// AcknowledgedAtStart lists the labels that had been acknowledged when the current digest or read began.
	AcknowledgedAtStart []string

	OwnedKey  string
	Ownership keystore.Ownership `json:"-"`
	Proposed  keystore.Register
	Lease     *validity
	// LastDigest is kept only in scenarios that check the validity of digests.
	LastDigest *validity

	// bootstrapMembership is the membership that a catch-up queries while none is known.
	bootstrapMembership keystore.Membership
	leaseDuration       time.Duration
	reachable           []string
	keepsDigests        bool
}

// unencodedProposerState encodes the state that is excluded from a proposer's JSON.
func unencodedProposerState(p *proposer) string { return fmt.Sprint(p.Ownership) }

// outcome is the effects of an event at a proposer, apart from its new state.
type outcome struct {
	packets   []packet
	committed []committedValue
	// digestProposals holds the proposals that a digest found committed, whose values are to be fetched.
	digestProposals     []keystore.Register
	acknowledgedAtStart []string
	acknowledged        string
	proposal            keystore.ProposalNumber
}

// proposerView is the part of the world that a proposer may use, apart from its own state.
type proposerView struct {
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

// resetRound ends the current round; later replies to it are ignored.
func (p *proposer) resetRound() {
	p.Phase, p.Replies, p.Queried = phaseIdle, nil, keystore.Membership{}
	p.VersionAtStart = 0
	p.Started, p.AcknowledgedAtStart, p.Proposed = time.Time{}, nil, keystore.Register{}
}

// finishTask moves on to the next task. After the last one it clears what the proposer owns, so that finished proposers
// share one state.
func (p *proposer) finishTask() {
	p.resetRound()
	p.Tasks = p.Tasks[1:]
	if len(p.Tasks) == 0 {
		p.Tasks = nil
		p.OwnedKey, p.Ownership = "", keystore.Ownership{}
	}
}

// failAttempt ends an attempt; the task is dropped once no attempts remain.
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

// restart returns the next incarnation. It keeps the remaining tasks, since callers resend their calls, and the membership.
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

// startRound starts a round: one request to each member.
func (p *proposer) startRound(next phase, message keystore.Message) []packet {
	return p.startRoundWith(p.Membership, next, message)
}

// startRoundWith starts a round with the members of a given membership, which may differ from the one that the proposer
// knows.
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
