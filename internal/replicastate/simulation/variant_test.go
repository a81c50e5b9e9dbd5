package simulation

import (
	"ferryspar/internal/replicastate"
)

// variant is a fault planted into what daemons do with their knowledge of replicas.
type variant string

const (
	sound variant = ""
	// noExpectedSequence sends orders that name no sequence.
	noExpectedSequence variant = "no expected sequence"
	// everyReportBelieved takes each report for newer than all that is known, also at a sequence that was refused.
	everyReportBelieved variant = "every report believed"
	// keptAcrossGrants keeps what was learned under one grant under the next ones.
	keptAcrossGrants variant = "kept across grants"
	// unknownCountsAsFree takes an order without answer for one that was never sent.
	unknownCountsAsFree variant = "unknown fate counts as free"
	// restartUnnoticed drops reports of lower sequences for ever.
	restartUnnoticed variant = "restart unnoticed"
	// fenceRefusalIgnored keeps what is known after a refusal for the fence.
	fenceRefusalIgnored variant = "refusal for the fence ignored"
	// sentUnderLaterGrant sends an order under whatever grant is held.
	sentUnderLaterGrant variant = "sent under a later grant"
)

var faults = []variant{
	noExpectedSequence, everyReportBelieved, keptAcrossGrants, unknownCountsAsFree,
	restartUnnoticed, fenceRefusalIgnored, sentUnderLaterGrant,
}

// mixesGrants tells whether orders go out under another grant than they were decided under.
func (v variant) mixesGrants() bool { return v == sentUnderLaterGrant || v == keptAcrossGrants }

// takeAnswer has the replica's state learn of an answer, as the variant falsifies it.
func (k *knownReplica) takeAnswer(order replicastate.Order, outcome replicastate.Outcome) {
	if outcome == replicastate.Fenced {
		k.fencedAt = k.now()
	}
	falsified := map[variant]replicastate.Outcome{
		unknownCountsAsFree: replicastate.NoAnswer,
		fenceRefusalIgnored: replicastate.Fenced,
	}
	if falsified[k.daemon.world.variant] == outcome {
		outcome = replicastate.NotSent
	}
	k.state.Answer(order, outcome, k.now())
}

// takeReport has the replica's state learn of a report, as the variant falsifies it.
func (k *knownReplica) takeReport(report replicastate.Report) bool {
	switch k.daemon.world.variant {
	case everyReportBelieved:
		if !report.Busy {
			k.forget(report.Held)
			k.state.AskStarted(k.now())
		}
	case restartUnnoticed:
		if report.Sequence < k.highest {
			k.state.AskFailed(k.now())
			return false
		}
		k.highest = report.Sequence
	}
	return k.state.Reported(report, k.now())
}
