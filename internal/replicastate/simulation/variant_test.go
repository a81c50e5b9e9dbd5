package simulation

import (
	"ferryspar/internal/replicastate"
)

// mutation is a fault planted into what daemons do with their knowledge of replicas.
type mutation string

const (
	noMutation mutation = ""
	// noExpectedSequence sends orders that name no sequence.
	noExpectedSequence mutation = "no expected sequence"
	// everyReportBelieved takes each report for newer than all that is known, also at a sequence that was refused.
	everyReportBelieved mutation = "every report believed"
	// keptAcrossGrants keeps what was learned under one grant under the next ones.
	keptAcrossGrants mutation = "kept across grants"
	// unknownCountsAsFree takes an order without answer for one that was never sent.
	unknownCountsAsFree mutation = "unknown fate counts as free"
	// restartUnnoticed drops reports of lower sequences for ever.
	restartUnnoticed mutation = "restart unnoticed"
	// fenceRefusalIgnored keeps what is known after a refusal for the fence.
	fenceRefusalIgnored mutation = "refusal for the fence ignored"
	// sentUnderLaterGrant sends an order under whatever grant is held.
	sentUnderLaterGrant mutation = "sent under a later grant"
)

var mutations = []mutation{
	noExpectedSequence, everyReportBelieved, keptAcrossGrants, unknownCountsAsFree,
	restartUnnoticed, fenceRefusalIgnored, sentUnderLaterGrant,
}

// mixesGrants tells whether orders go out under another grant than they were decided under.
func (m mutation) mixesGrants() bool { return m == sentUnderLaterGrant || m == keptAcrossGrants }

// applyResponse has the replica's state learn of an answer, as the variant falsifies it.
func (t *trackedReplica) applyResponse(order replicastate.Order, outcome replicastate.Outcome) {
	if outcome == replicastate.Fenced {
		t.fencedAt = t.now()
	}
	falsified := map[mutation]replicastate.Outcome{
		unknownCountsAsFree: replicastate.NoAnswer,
		fenceRefusalIgnored: replicastate.Fenced,
	}
	if falsified[t.node.world.mutation] == outcome {
		outcome = replicastate.NotSent
	}
	t.state.HandleResponse(order, outcome, t.now())
}

// applyReport has the replica's state learn of a report, as the variant falsifies it.
func (t *trackedReplica) applyReport(report replicastate.Report) bool {
	switch t.node.world.mutation {
	case everyReportBelieved:
		if !report.Busy {
			t.reset(report.Loaded)
			t.state.PollStarted(t.now())
		}
	case restartUnnoticed:
		if report.Sequence < t.highestSequence {
			t.state.PollFailed(t.now())
			return false
		}
		t.highestSequence = report.Sequence
	}
	return t.state.HandleReport(report, t.now())
}
