package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundHistory returns a history without violations: a request that was served, and one that was rejected.
func soundHistory() *history {
	served := sentRequest{
		ID: "a", Node: "edge-1", SentAt: 10 * time.Second, EndedAt: 12 * time.Second, Status: 200, Complete: true, Seal: sealOf("a"),
		Body: streamOf("a"),
	}
	rejected := sentRequest{ID: "b", Node: "edge-1", SentAt: 11 * time.Second, EndedAt: 11 * time.Second, Status: 503, Complete: true}
	return &history{
		Requests: []sentRequest{served, rejected},
		Executions: []execution{{
			ID: "a", Replica: "i-1", Body: promptOf("a"), StartedAt: 10 * time.Second, EndedAt: 12 * time.Second, Complete: true,
		}},
		Events:           []nodeEvent{{At: 9 * time.Second, Node: "edge-1", Kind: faultTerm}},
		Acknowledgements: []acknowledgement{{At: 10 * time.Second, Revision: 3}},
		FinalRevision:    3,
	}
}

// cut makes the served request one that is cut, sent and ended that long after the SIGTERM of its data plane.
func cut(h *history, sentAfter, endedAfter time.Duration) {
	terminatedAt := h.Events[0].At
	h.Requests[0].SentAt, h.Requests[0].EndedAt = terminatedAt+sentAfter, terminatedAt+endedAfter
	h.Requests[0].Complete = false
	h.Requests[0].Body = ""
	h.Executions[0].EndedAt = terminatedAt + endedAfter
}

// cutInCalmTimes makes more requests than are tolerated end without a response or a fault.
func cutInCalmTimes(h *history) {
	const cutAt = 30 * time.Second
	h.Events = nil
	for _, id := range []string{"c", "d", "e", "f"} {
		h.Requests = append(h.Requests, sentRequest{ID: id, Node: "edge-1", HeadAt: cutAt, SentAt: cutAt, EndedAt: cutAt + time.Second})
		h.Executions = append(h.Executions, execution{ID: id, Body: promptOf(id)})
	}
}

// runTooOften makes more requests than are tolerated run more often than their route allows.
func runTooOften(h *history) {
	for _, id := range []string{"c", "d", "e", "f"} {
		h.Requests = append(h.Requests, sentRequest{ID: id, Route: "idempotent", Status: 502, Complete: true})
		for range routeNamed("idempotent").retryCount + 1 {
			h.Executions = append(h.Executions, execution{ID: id, Body: promptOf(id)})
		}
	}
}

// readOldConfiguration adds a read of a revision that is older than the acknowledged one.
func readOldConfiguration(h *history) {
	h.Reads = []configurationRead{{SentAt: 13 * time.Second, Node: "control-1", Revision: 2}}
}

// useTooMuch makes a data plane exceed its memory.
func useTooMuch(h *history) { h.Usage = map[string]processUsage{edgeKind: {PeakMb: memoryMb + 1}} }

// runInEvacuatedZone makes a request reach a replica of an evacuated zone, long after the SIGTERM.
func runInEvacuatedZone(h *history) {
	h.Events = append(h.Events, nodeEvent{At: 18 * time.Second, Node: "edge-1", Kind: eventStart})
	h.Evacuations = []evacuation{{Zone: "zone-1", AcknowledgedAt: 40 * time.Second, EndedAt: 60 * time.Second}}
	late := h.Requests[0]
	late.ID, late.SentAt, late.Seal, late.Body = "c", 50*time.Second, sealOf("c"), streamOf("c")
	h.Requests = append(h.Requests, late)
	h.Executions = append(h.Executions, execution{ID: "c", Body: promptOf("c"), Zone: "zone-1", StartedAt: 50 * time.Second})
}

func TestHistory_EachJudgeFindsItsViolation(t *testing.T) {
	assert.Equal(t, len(soundHistory().violations()), 0)
	for name, test := range map[string]struct {
		plant func(h *history)
		rule  string
	}{
		"request that no client sent": {func(h *history) { h.Executions[0].ID = "hidden" }, "UNASKED"},
		"changed body":                {func(h *history) { h.Executions[0].Body += "!" }, "UNASKED"},
		"second run":                  {func(h *history) { h.Executions = append(h.Executions, h.Executions[0]) }, "TWICE"},
		"run after a promise":         {func(h *history) { h.Executions[0].ID, h.Executions[0].Body = "b", promptOf("b") }, "REFUSED"},
		"another response":            {func(h *history) { h.Requests[0].Seal = sealOf("b") }, "MIXED"},
		"incomplete but looks whole":  {func(h *history) { h.Requests[0].Body = eventOf("a", 1) }, "MIXED"},
		"other bytes before a cut":    {func(h *history) { cut(h, time.Second, 2*time.Second); h.Requests[0].Body = "x" }, "MIXED"},
		"cut early":                   {func(h *history) { cut(h, time.Second, 3*time.Second) }, "LOST"},
		"cut late, sent late":         {func(h *history) { cut(h, 4*time.Second, 7700*time.Millisecond) }, "LOST"},
		"not passed on, ended late": {func(h *history) {
			cut(h, time.Second, 2*time.Second)
			h.Executions = nil
		}, "LOST"},
		"cut after a SIGHUP": {func(h *history) {
			cut(h, time.Second, 2*time.Second)
			h.Events[0].Kind = faultHangup
		}, "LOST"},
		"cut without a fault":            {cutInCalmTimes, "LOST"},
		"too many retries":               {runTooOften, "BUDGET"},
		"lost configuration":             {func(h *history) { h.FinalRevision = 2 }, "CONFIG"},
		"older configuration":            {readOldConfiguration, "CONFIG"},
		"run in an empty zone":           {runInEvacuatedZone, "EVAC"},
		"broken promise of coordination": {func(h *history) { h.Coordination = []string{"two holders"} }, "COORDINATION"},
		"too much memory":                {useTooMuch, "MEMORY"},
		"panic":                          {func(h *history) { h.Panics = []string{"edge-1: panic: a"} }, "PANIC"},
	} {
		t.Run(name, func(t *testing.T) {
			planted := soundHistory()
			test.plant(planted)
			found := planted.violations()
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0][:len(test.rule)], test.rule, "%q", found)
		})
	}
}

func TestJudgeLost_ExcusesWhatThePagesExcuse(t *testing.T) {
	for name, change := range map[string]func(h *history){
		"at work in the last sixth, sent early": func(h *history) { cut(h, 2*time.Second, 7700*time.Millisecond) },
		"unplanned fault before": func(h *history) {
			cut(h, time.Second, 3*time.Second)
			h.Events = append(h.Events, nodeEvent{At: 8 * time.Second, Node: "control-1", Kind: faultKill})
		},
		"no SIGTERM of its data plane": func(h *history) {
			cut(h, time.Second, 3*time.Second)
			h.Events[0].Node = "edge-2"
		},
		"replica broke off": func(h *history) {
			cut(h, time.Second, 3*time.Second)
			h.Executions[0].Misbehaviour = breakOff
		},
		"deadline reached": func(h *history) {
			cut(h, time.Second, 3*time.Second)
			h.Requests[0].HeadAt = h.Requests[0].EndedAt - requestTimeout
		},
		"crossed the close, not passed on": func(h *history) {
			cut(h, time.Second, 1100*time.Millisecond)
			h.Executions = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			excused := soundHistory()
			change(excused)
			assert.DeepEqual(t, judgeLost(excused), []string(nil))
		})
	}
}

func TestNewSchedule_KeepsItsLimits(t *testing.T) {
	controls, edges := []string{"control-1", "control-2", "control-3"}, []string{"edge-1", "edge-2", "edge-3"}
	replicas := []string{"i-1", "i-2"}
	for seed := range uint64(200) {
		schedule := newSchedule(seed, time.Minute, controls, edges, replicas)
		assert.DeepEqual(t, schedule, newSchedule(seed, time.Minute, controls, edges, replicas))
		busyUntil := map[string]time.Duration{}
		lastControl := -controlSpacing
		for _, fault := range schedule {
			switch fault.Kind {
			case changeConfiguration, faultLyingHealth:
				continue
			case changeEvacuation:
				assert.Assert(t, fault.At+fault.Duration < time.Minute)
				continue
			}
			assert.Assert(t, fault.At >= calmStart && fault.At < time.Minute-calmEnd)
			if fault.Node[0] == 'c' {
				assert.Assert(t, fault.At-lastControl >= controlSpacing, "seed %d: control planes lost together", seed)
				lastControl = fault.At
				continue
			}
			assert.Assert(t, busyUntil[fault.Node] <= fault.At)
			busyUntil[fault.Node] = fault.At + occupation(fault)
			free := 0
			for _, edge := range edges {
				if busyUntil[edge] <= fault.At {
					free++
				}
			}
			assert.Assert(t, free >= 1, "seed %d: no data plane is left alone", seed)
		}
	}
}

func TestEventCount_IsMostlySmallAndNeverAboveWhatRequestsState(t *testing.T) {
	short, long := 0, 0
	for number := range 2000 {
		count := eventCount(fmt.Sprint("r", number))
		assert.Assert(t, count >= 1 && count <= mostEvents)
		if count <= shortEvents {
			short++
		}
		if count > mostEvents/2 {
			long++
		}
	}
	assert.Assert(t, short > 1200 && long > 200, "%d short, %d long", short, long)
}
