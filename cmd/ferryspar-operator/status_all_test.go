package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/adminapi"
)

func TestDaemonStatus_String(t *testing.T) {
	cases := map[string]adminapi.FleetStatus{
		"a: votes, confirmed 80 ms ago, revision 7, member list 3 [x y z]": {
			IsMember: true, Voting: true, Fresh: true, ConfirmedAgeMs: 80,
			Revision: 7, MembershipVersion: 3, Members: []string{"x", "y", "z"},
		},
		"a: member without a vote, confirmed never, revision 0, member list 0 []": {IsMember: true, ConfirmedAgeMs: -1},
		"a: leaving, confirmed 20000 ms ago, too long, revision 7, member list 4 [x] changing to [y], does not hear z": {
			IsMember: true, Leaving: true, ConfirmedAgeMs: 20000, Revision: 7, MembershipVersion: 4,
			Members: []string{"x"}, NextMembers: []string{"y"}, SilentMembers: []string{"z"},
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
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(adminapi.FleetStatus{Member: "x", Revision: 9})
	}))
	defer server.Close()
	before := options
	defer func() { options = before }()
	options.PerAddressTimeout = 300 * time.Millisecond
	options.Control = []string{strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:1"}
	assert.Equal(t, fetchStatus(options.Control[0]).Status.Revision, int64(9))
	assert.Assert(t, fetchStatus(options.Control[1]).Error != "")
	assert.NilError(t, printStatusOfAll())
	options.Control = options.Control[1:]
	assert.ErrorContains(t, printStatusOfAll(), "no control daemon answered")
}
