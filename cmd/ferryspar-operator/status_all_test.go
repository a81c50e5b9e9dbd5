package main

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/adminapi"
)

func TestControlPlaneStatus_String(t *testing.T) {
	cases := map[string]adminapi.FleetStatus{
		"a: votes, confirmed 80 ms ago, revision 7, member list 3 [x y z]": {
			IsMember: true, Voting: true, Fresh: true, ConfirmedAgeMs: 80, Revision: 7, MembershipVersion: 3,
			Members: []string{"x", "y", "z"},
		},
		"a: member without a vote, confirmed never, revision 0, member list 0 []": {IsMember: true, ConfirmedAgeMs: -1},
		"a: leaving, confirmed 20000 ms ago, too long, revision 7, member list 4 [x] changing to [y], does not hear z": {
			IsMember: true, Leaving: true, ConfirmedAgeMs: 20000, Revision: 7, MembershipVersion: 4,
			Members: []string{"x"}, NextMembers: []string{"y"}, SuspectedMembers: []string{"z"},
		},
		"a: no member, confirmed 5 ms ago, revision 7, member list 4 [x]": {
			Fresh: true, ConfirmedAgeMs: 5, Revision: 7, MembershipVersion: 4, Members: []string{"x"},
		},
	}
	for line, status := range cases {
		assert.Equal(t, controlPlaneStatus{Address: "a", Status: &status}.String(), line)
	}
	assert.Equal(t, controlPlaneStatus{Address: "a", Error: "no conclusive response"}.String(), "a: no conclusive response")
}

func TestPrintAllStatuses_ListsUnreachable(t *testing.T) {
	controlPlane := startFakeControlPlane(t, http.StatusOK, adminapi.FleetStatus{Address: "x", Revision: 9})
	unreachable := "127.0.0.1:1"
	app, _ := newTestApplication(controlPlane.address, unreachable)
	app.options.PerAddressTimeout = 300 * time.Millisecond
	assert.Equal(t, app.fetchControlPlaneStatus(controlPlane.address).Status.Revision, int64(9))
	assert.Assert(t, app.fetchControlPlaneStatus(unreachable).Error != "")
	assert.NilError(t, app.printAllStatuses())
	app.options.ControlPlanes = []string{unreachable}
	assert.ErrorContains(t, app.printAllStatuses(), "no control plane responded")
}
