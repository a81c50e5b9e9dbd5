package simulation

import (
	"ferryspar/internal/replicastate"
)

// mutation is a defect that is injected into the nodes' use of replicastate, to check that the simulation detects it.
type mutation string

const (
	noMutation mutation = ""
	// noExpectedSequence sends orders without an expected sequence number.
	noExpectedSequence mutation = "no expected sequence"
	// everyReportAdopted adopts every report, also stale ones and those of a sequence number that met a conflict.
	everyReportAdopted mutation = "every report adopted"
	// keptAcrossGrants keeps the tracked replicas when a new grant begins.
	keptAcrossGrants mutation = "kept across grants"
	// noResponseMeansNotSent treats an order without a response as one that was never sent.
	noResponseMeansNotSent mutation = "no response counts as not sent"
	// restartIgnored never adopts a report with a lower sequence number.
	restartIgnored mutation = "restart ignored"
	// fencedOutcomeIgnored treats an order that was rejected because of its fencing token as one that was never sent.
	fencedOutcomeIgnored mutation = "fenced outcome ignored"
	// sentUnderLaterGrant sends an order under the current grant, whichever it was decided under.
	sentUnderLaterGrant mutation = "sent under a later grant"
)

var mutations = []mutation{
	noExpectedSequence, everyReportAdopted, keptAcrossGrants, noResponseMeansNotSent,
	restartIgnored, fencedOutcomeIgnored, sentUnderLaterGrant,
}

// mixesGrants reports whether orders may be sent under another grant than they were decided under.
func (m mutation) mixesGrants() bool { return m == sentUnderLaterGrant || m == keptAcrossGrants }

// applyResponse applies an outcome to the replica's state, altered by the mutation.
func (t *trackedReplica) applyResponse(order replicastate.Order, outcome replicastate.Outcome) {
	if outcome == replicastate.Fenced {
		t.fencedAt = t.now()
	}
	treatedAsNotSent := map[mutation]replicastate.Outcome{
		noResponseMeansNotSent: replicastate.NoResponse,
		fencedOutcomeIgnored:   replicastate.Fenced,
	}
	if treatedAsNotSent[t.node.cluster.mutation] == outcome {
		outcome = replicastate.NotSent
	}
	t.state.HandleResponse(order, outcome, t.now())
}

// applyReport applies a report to the replica's state, altered by the mutation.
func (t *trackedReplica) applyReport(report replicastate.Report) bool {
	switch t.node.cluster.mutation {
	case everyReportAdopted:
		if !report.Busy {
			t.reset(report.Loaded)
			t.state.PollStarted(t.now())
		}
	case restartIgnored:
		if report.Sequence < t.highestSequence {
			t.state.PollFailed(t.now())
			return false
		}
		t.highestSequence = report.Sequence
	}
	return t.state.HandleReport(report, t.now())
}
