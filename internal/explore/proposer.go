package explore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

type phase string

const (
	phaseIdle         phase = "idle"
	phasePromising    phase = "promising"
	phaseRecommitting phase = "recommitting"
	phaseWriting      phase = "writing"
	// phaseAsking is a question of one round: a look, a read, a renewal, a release, a catch-up.
	phaseAsking phase = "asking"
)

// hold is a lease as its holder counts it, or the validity of a look. The times are by the
// clock that Rules.Clock gives.
type hold struct {
	Began    time.Time
	Answered time.Time
	Until    time.Time
	Key      string
	Value    json.RawMessage
}

// proposer is one life of a daemon's Store, with the calls that are still to come.
type proposer struct {
	Machine string
	Index   int
	Life    uint64
	// Ballots holds those used so far, of former lives too.
	Ballots []keystore.Ballot
	// Seen is the highest round of a ballot that this life has seen.
	Seen    uint64
	Members keystore.Members
	Tasks   []Task

	Phase phase
	Round int
	Asked keystore.Members
	// AskedUnder is the number of the list known when a catch-up began.
	AskedUnder uint64
	Replies    map[string]keystore.Reply
	Began      time.Time
	// Floor is what was acknowledged when the present look or read began.
	Floor []string

	Held    string
	Owner   keystore.Ownership `json:"-"`
	Writing keystore.Slot
	Lease   *hold
	// Looked is the last look, kept where its freshness is judged.
	Looked *hold

	// founding is the list that is asked while none is known.
	founding   keystore.Members
	length     time.Duration
	reaches    []string
	keepsLooks bool
}

func hiddenOfProposer(p *proposer) string { return fmt.Sprint(p.Owner) }

// outcome is what follows from an event at a proposer besides its new state.
type outcome struct {
	packets   []packet
	concluded []conclusion
	// looked holds proposals that a digest calls committed, to be fetched.
	looked       []keystore.Slot
	floor        []string
	acknowledged string
	ballot       keystore.Ballot
}

// view is what a proposer may look at besides its own state.
type view struct {
	rules Rules
	// now is by the clock of the proposer's machine.
	now time.Time
	// acknowledged lists the marks of the changes acknowledged so far.
	acknowledged []string
	// own is the member on the proposer's machine, if there is one.
	own *member
}

func (p *proposer) clone() *proposer {
	copied := *p
	copied.Replies = maps.Clone(p.Replies)
	copied.Ballots = slices.Clone(p.Ballots)
	return &copied
}

func (p *proposer) task() Task { return p.Tasks[0] }

func (p *proposer) done() bool { return len(p.Tasks) == 0 }

// idle leaves the round; replies to it count no more.
func (p *proposer) idle() {
	p.Phase, p.Replies, p.Asked = phaseIdle, nil, keystore.Members{}
	p.AskedUnder = 0
	p.Began, p.Floor, p.Writing = time.Time{}, nil, keystore.Slot{}
}

func (p *proposer) finish() {
	p.idle()
	p.Tasks = p.Tasks[1:]
	if len(p.Tasks) == 0 {
		p.Tasks = nil
		p.Held, p.Owner = "", keystore.Ownership{}
	}
}

// fail ends an attempt; the task is dropped once its attempts are used up.
func (p *proposer) fail() {
	p.idle()
	p.Held, p.Owner = "", keystore.Ownership{}
	current := p.task()
	current.Attempts--
	if current.Attempts <= 0 {
		p.finish()
		return
	}
	p.Tasks = append([]Task{current}, p.Tasks[1:]...)
}

// restart is the next life: it knows its calls, since callers send them again, and the list.
func (p *proposer) restart(members keystore.Members) *proposer {
	next := &proposer{
		Machine: p.Machine, Index: p.Index, Life: p.Life + 1, Ballots: p.Ballots, Members: p.Members, Tasks: p.Tasks,
		Phase: phaseIdle, founding: p.founding, length: p.length, reaches: p.reaches, keepsLooks: p.keepsLooks,
	}
	if members.Number > 0 {
		next.Members = members
	}
	return next
}

func (p *proposer) adopt(members keystore.Members) {
	if members.Number > p.Members.Number {
		p.Members = members
	}
}

// ask begins a round: one question to each member.
func (p *proposer) ask(in phase, message keystore.Message) []packet {
	return p.askFrom(p.Members, in, message)
}

// askFrom puts the question to a list that need not be the one known to be in force.
func (p *proposer) askFrom(asked keystore.Members, in phase, message keystore.Message) []packet {
	p.Phase, p.Asked, p.Replies = in, asked, map[string]keystore.Reply{}
	p.Round++
	message.Sender, message.Members = p.Machine, p.Members
	var packets []packet
	for _, address := range p.Asked.All() {
		if len(p.reaches) > 0 && !slices.Contains(p.reaches, address) {
			continue
		}
		packets = append(packets, packet{Member: address, Proposer: p.Index, Life: p.Life, Round: p.Round, Question: &message})
	}
	return packets
}
