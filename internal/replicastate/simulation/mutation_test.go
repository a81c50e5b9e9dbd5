package simulation

import (
	"ferryspar/internal/replicastate"
)

// mutation is a defect planted into what nodes do with their knowledge of replicas.
type mutation string

const (
	noMutation mutation = ""
	// noExpectedSequence sends orders that name no sequence.
	noExpectedSequence mutation = "no expected sequence"
	// everyReportBelieved takes each report for newer than all that is known, also at a sequence that was rejected.
	everyReportBelieved mutation = "every report believed"
	// keptAcrossGrants keeps what was learned under one grant under the next ones.
	keptAcrossGrants mutation = "kept across grants"
	// unknownCountsAsFree takes an order without an answer for one that was never sent.
	unknownCountsAsFree mutation = "unknown fate counts as free"
	// restartUnnoticed drops reports of lower sequences for ever.
	restartUnnoticed mutation = "restart unnoticed"
	// fenceRejectionIgnored keeps what is known after a rejection for the fence.
	fenceRejectionIgnored mutation = "rejection for the fence ignored"
	// sentUnderLaterGrant sends an order under whatever grant is held.
	sentUnderLaterGrant mutation = "sent under a later grant"
)

var mutations = []mutation{
	noExpectedSequence, everyReportBelieved, keptAcrossGrants, unknownCountsAsFree,
	restartUnnoticed, fenceRejectionIgnored, sentUnderLaterGrant,
}

// mixesGrants tells whether orders go out under another grant than they were decided under.
func (m mutation) mixesGrants() bool { return m == sentUnderLaterGrant || m == keptAcrossGrants }

// applyResponse applies a response to the replica's state, as the mutation falsifies it.
func (t *trackedReplica) applyResponse(order replicastate.Order, outcome replicastate.Outcome) {
	if outcome == replicastate.Fenced {
		t.fencedAt = t.now()
	}
	falsified := map[mutation]replicastate.Outcome{
		unknownCountsAsFree:   replicastate.NoResponse,
		fenceRejectionIgnored: replicastate.Fenced,
	}
	if falsified[t.node.world.mutation] == outcome {
		outcome = replicastate.NotSent
	}
	t.state.HandleResponse(order, outcome, t.now())
}

// applyReport applies a report to the replica's state, as the mutation falsifies it.
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
