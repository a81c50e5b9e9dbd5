package main

import (
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
		"lost configuration": {func(h *history) { h.FinalRevision = 2 }, "CONFIG"},
		"panic":              {func(h *history) { h.Panics = []string{"edge-1: panic: a"} }, "PANIC"},
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
	for seed := range uint64(200) {
		schedule := newSchedule(seed, time.Minute, controls, edges)
		assert.DeepEqual(t, schedule, newSchedule(seed, time.Minute, controls, edges))
		busyUntil := map[string]time.Duration{}
		lastControl := -controlSpacing
		for _, fault := range schedule {
			assert.Assert(t, fault.At >= calmStart && fault.At < time.Minute-calmEnd)
			if fault.Kind == changeConfiguration {
				continue
			}
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
