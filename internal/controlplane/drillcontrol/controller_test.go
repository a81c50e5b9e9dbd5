package drillcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
)

// testNode is a node that holds the lease and commits changes of the drill at once.
type testNode struct {
	state     State
	clock     time.Time
	record    drill.Record
	suspected string
	// silentDataPlane and silentMember are returned as silent by its registries.
	silentDataPlane string
	silentMember    string
	// failures is the number of changes that are reported as uncertain before one is reported as successful.
	failures int
}

func (n *testNode) State() State                    { return n.state }
func (n *testNode) Members() []string               { return []string{"self", "other"} }
func (n *testNode) HoldsLease() bool                { return true }
func (n *testNode) IsSuspected(replica string) bool { return replica == n.suspected }
func (n *testNode) Known() []string                 { return []string{"edge"} }

func (n *testNode) Live(time.Time, time.Duration) []string { return []string{"edge"} }

func (n *testNode) Silent([]string, time.Time, time.Duration) string { return n.silentDataPlane }

func (n *testNode) ReadDrill(context.Context) (drill.Record, error) { return n.record, nil }

func (n *testNode) ChangeDrill(_ context.Context, decide func(drill.Record) (drill.Record, error)) error {
	next, err := decide(n.record)
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	n.record = next
	n.state.Drill, _ = n.state.Drill.Adopt(next, n.clock)
	if n.failures > 0 {
		n.failures--
		return apierror.New(apierror.UncertainWrite, "")
	}
	return nil
}

// testMembers stands for the other control-plane nodes of a testNode.
type testMembers struct{ node *testNode }

func (m testMembers) Silent([]string, time.Time) string { return m.node.silentMember }

func newTestController() (*Controller, *testNode) {
	node := &testNode{
		clock: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		state: State{
			IsConfirmed: true,
			Replicas:    []discovery.Replica{{ID: "i-1", Zone: "north"}, {ID: "i-2", Zone: "south"}},
		},
	}
	config := Config{
		Self:  "self",
		Zones: map[string]string{"north": "land", "south": "land"},
		Clock: func() time.Time { return node.clock },
		NewID: func() uint64 { return 7 },
	}
	return NewController(config, node, node, node, testMembers{node}), node
}

var northRequest = drill.Request{Kind: drill.KindDrill, Scope: drill.Scope{Zone: "north"}, IdempotencyKey: "key"}

func TestController_StartIsIdempotentByKey(t *testing.T) {
	controller, node := newTestController()
	node.failures = 1
	status, err := controller.Start(t.Context(), northRequest)
	assert.NilError(t, err, "the retry finds the result of the uncertain write")
	assert.Equal(t, status.Number, uint64(1))
	assert.Assert(t, status.Running)
	status, err = controller.Start(t.Context(), northRequest)
	assert.NilError(t, err)
	assert.Equal(t, status.Number, uint64(1))
	other := northRequest
	other.IdempotencyKey = "other"
	_, err = controller.Start(t.Context(), other)
	assert.Equal(t, apierror.From(err).Kind, apierror.DrillInProgress)
	stopped, err := controller.Stop(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, stopped.EndReason, drill.EndedByOperator)
	status, err = controller.Start(t.Context(), other)
	assert.NilError(t, err)
	assert.Equal(t, status.Number, uint64(2))
}

func TestController_StartRejectsRequestsInUnsuitableState(t *testing.T) {
	cases := map[string]struct {
		change func(node *testNode)
		kind   apierror.Kind
	}{
		"unconfirmed state": {
			change: func(node *testNode) {
				node.state.IsConfirmed = false
			},
			kind: apierror.NoMajority,
		},
		"evacuated zone": {
			change: func(node *testNode) {
				node.state.Zones = map[string]peer.ZoneState{"south": {Drained: true}}
			},
			kind: apierror.DrillInProgress,
		},
		"no replica outside": {
			change: func(node *testNode) {
				node.state.Replicas = node.state.Replicas[:1]
			},
			kind: apierror.InvalidDrill,
		},
		"only draining outside": {
			change: func(node *testNode) {
				node.state.Replicas[1].State = discovery.StateDraining
			},
			kind: apierror.InvalidDrill,
		},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			controller, node := newTestController()
			testCase.change(node)
			_, err := controller.Start(t.Context(), northRequest)
			assert.Equal(t, apierror.From(err).Kind, testCase.kind)
			assert.Equal(t, node.record.Number, uint64(0))
		})
	}
}

func TestController_GuardEndsDrillAtRealLoss(t *testing.T) {
	cases := map[string]struct {
		change  func(controller *Controller, node *testNode)
		reason  string
		byGuard bool
	}{
		"time is up": {
			change: func(_ *Controller, node *testNode) {
				node.clock = node.clock.Add(drill.DefaultDuration)
			},
			reason:  drill.EndedByTime,
			byGuard: false,
		},
		"no renewal": {
			change: func(_ *Controller, node *testNode) {
				node.clock = node.clock.Add(drill.LeaseDuration)
			},
			reason:  drill.EndedWithoutRenewal,
			byGuard: true,
		},
		"evacuation": {
			change: func(_ *Controller, node *testNode) {
				node.state.Zones = map[string]peer.ZoneState{"south": {Drained: true}}
			},
			reason:  drill.EndedByEvacuation + ": zone south",
			byGuard: true,
		},
		"replica gone": {
			change: func(_ *Controller, node *testNode) {
				node.state.Replicas = node.state.Replicas[1:]
			},
			reason:  realLossPrefix + "replica i-1 is gone",
			byGuard: true,
		},
		"replica suspected": {
			change: func(_ *Controller, node *testNode) {
				node.suspected = "i-2"
			},
			reason:  realLossPrefix + "replica i-2 does not answer",
			byGuard: true,
		},
		"data plane silent": {
			change: func(_ *Controller, node *testNode) {
				node.silentDataPlane = "edge"
			},
			reason:  realLossPrefix + "edge edge is silent",
			byGuard: true,
		},
		"member silent": {
			change: func(_ *Controller, node *testNode) {
				node.silentMember = "other"
			},
			reason:  realLossPrefix + "member other is silent",
			byGuard: true,
		},
		"data plane ended it": {
			change: func(c *Controller, _ *testNode) {
				c.RecordReport("edge", drill.Report{Number: 1, EndReason: "why"})
			},
			reason:  "edge edge ended it: why",
			byGuard: true,
		},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			controller, node := newTestController()
			_, err := controller.Start(t.Context(), northRequest)
			assert.NilError(t, err)
			base := controller.newBaseline(node.state, node.clock)
			assert.DeepEqual(t, base.members, []string{"other"})
			controller.guard(t.Context(), base, node.state, node.clock)
			assert.Assert(t, node.record.Running, "nothing was lost yet")
			assert.Equal(t, node.record.Renewals, uint64(1))
			testCase.change(controller, node)
			controller.guard(t.Context(), base, node.state, node.clock)
			assert.Assert(t, !node.record.Running)
			assert.Equal(t, node.record.EndReason, testCase.reason)
			assert.Equal(t, node.record.EndedByGuard, testCase.byGuard)
		})
	}
}

func TestController_NewLeaseHolderEndsDrill(t *testing.T) {
	controller, node := newTestController()
	_, err := controller.Start(t.Context(), northRequest)
	assert.NilError(t, err)
	controller.guard(t.Context(), controller.newBaseline(node.state, node.clock), node.state, node.clock)
	successor := NewController(controller.config, node, node, node, testMembers{node})
	successor.guard(t.Context(), successor.newBaseline(node.state, node.clock), node.state, node.clock)
	assert.Assert(t, !node.record.Running)
	assert.Equal(t, node.record.EndReason, realLossPrefix+"the duty to place has moved")
}
