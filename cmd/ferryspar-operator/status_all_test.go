package main

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/adminapi"
)

func TestDaemonStatus_String(t *testing.T) {
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
		assert.Equal(t, daemonStatus{Address: "a", Status: &status}.String(), line)
	}
	assert.Equal(t, daemonStatus{Address: "a", Error: "no clear answer in time"}.String(), "a: no clear answer in time")
}

func TestPrintStatusOfAll_ListsUnreachable(t *testing.T) {
	control := startFakeControl(t, http.StatusOK, adminapi.FleetStatus{Address: "x", Revision: 9})
	unreachable := "127.0.0.1:1"
	app, _ := newTestApplication(control.address, unreachable)
	app.options.PerAddressTimeout = 300 * time.Millisecond
	assert.Equal(t, app.fetchDaemonStatus(control.address).Status.Revision, int64(9))
	assert.Assert(t, app.fetchDaemonStatus(unreachable).Error != "")
	assert.NilError(t, app.printStatusOfAll())
	app.options.Control = []string{unreachable}
	assert.ErrorContains(t, app.printStatusOfAll(), "no control daemon answered")
}
