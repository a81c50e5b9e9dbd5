package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
)

// errNoAnswer is for a status of all daemons if none of them answered.
var errNoAnswer = errors.New("no control daemon answered")

// daemonStatus is the status that one control daemon sent, or why there is none.
type daemonStatus struct {
	Address string                `json:"address"`
	Status  *adminapi.FleetStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

// printStatusOfAll prints the status of every control daemon that was named, also of those that do not answer. It
// returns errNoAnswer if none does.
func (a *application) printStatusOfAll() error {
	var statuses []daemonStatus
	answered := 0
	for _, address := range a.options.Control {
		status := a.fetchDaemonStatus(address)
		if status.Status != nil {
			answered++
		}
		statuses = append(statuses, status)
	}
	if err := a.printDaemonStatuses(statuses); err != nil {
		return err
	}
	if answered == 0 {
		return errNoAnswer
	}
	return nil
}

func (a *application) printDaemonStatuses(statuses []daemonStatus) error {
	if a.options.JSON {
		return a.printJSON(statuses)
	}
	for _, status := range statuses {
		a.printLine(status)
	}
	return nil
}

// fetchDaemonStatus asks one daemon only, so its timeout is that of one attempt.
func (a *application) fetchDaemonStatus(address string) daemonStatus {
	timeout := a.options.PerAddressTimeout
	client := newClient([]string{address}, timeout, timeout)
	response, err := client.Call(context.Background(), http.MethodGet, pathStatus, "", nil)
	if err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	var status adminapi.FleetStatus
	if err := decode("the status", response.Body, &status); err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	return daemonStatus{Address: address, Status: &status}
}

// String returns one line: whether the daemon votes, how recent its state is, and what that state is.
func (d daemonStatus) String() string {
	if d.Status == nil {
		return d.Address + ": " + d.Error
	}
	status := d.Status
	line := fmt.Sprintf("%s: %s, confirmed %s, revision %d, member list %d %v",
		d.Address, votingState(status), confirmationAge(status), status.Revision, status.MembershipVersion, status.Members)
	if len(status.NextMembers) > 0 {
		line += fmt.Sprintf(" changing to %v", status.NextMembers)
	}
	if len(status.SuspectedMembers) > 0 {
		line += ", does not hear " + strings.Join(status.SuspectedMembers, " ")
	}
	return line
}

func votingState(status *adminapi.FleetStatus) string {
	switch {
	case status.Leaving:
		return "leaving"
	case !status.IsMember:
		return "no member"
	case !status.Voting:
		return "member without a vote"
	}
	return "votes"
}

// confirmationAge says how long ago a majority confirmed the daemon's state, and whether that is too long to act on it.
func confirmationAge(status *adminapi.FleetStatus) string {
	if status.ConfirmedAgeMs < 0 {
		return "never"
	}
	age := fmt.Sprintf("%d ms ago", status.ConfirmedAgeMs)
	if !status.Fresh {
		age += ", too long"
	}
	return age
}
