package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
)

// errNoResponse is returned by status --all if no control plane responds.
var errNoResponse = errors.New("no control plane responded")

// controlPlaneStatus is the status that one control plane sent, or the reason why there is none.
type controlPlaneStatus struct {
	Address string                `json:"address"`
	Status  *adminapi.FleetStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

// printAllStatuses prints the status of every given control plane, including those that don't respond. It returns
// errNoResponse if none does.
func (a *application) printAllStatuses() error {
	var statuses []controlPlaneStatus
	responded := 0
	for _, address := range a.options.ControlPlanes {
		status := a.fetchControlPlaneStatus(address)
		if status.Status != nil {
			responded++
		}
		statuses = append(statuses, status)
	}
	if err := a.printControlPlaneStatuses(statuses); err != nil {
		return err
	}
	if responded == 0 {
		return errNoResponse
	}
	return nil
}

func (a *application) printControlPlaneStatuses(statuses []controlPlaneStatus) error {
	if a.options.JSON {
		return a.printJSON(statuses)
	}
	for _, status := range statuses {
		a.printLine(status)
	}
	return nil
}

// fetchControlPlaneStatus queries only one control plane, so its timeout is that of one attempt.
func (a *application) fetchControlPlaneStatus(address string) controlPlaneStatus {
	timeout := a.options.PerAddressTimeout
	client := newClient([]string{address}, timeout, timeout)
	response, err := client.Call(context.Background(), http.MethodGet, pathStatus, "", nil)
	if err != nil {
		return controlPlaneStatus{Address: address, Error: err.Error()}
	}
	var status adminapi.FleetStatus
	if err := decode("the status", response.Body, &status); err != nil {
		return controlPlaneStatus{Address: address, Error: err.Error()}
	}
	return controlPlaneStatus{Address: address, Status: &status}
}

// String returns one line: whether the control plane votes, how recent its state is, and a summary of that state.
func (s controlPlaneStatus) String() string {
	if s.Status == nil {
		return s.Address + ": " + s.Error
	}
	status := s.Status
	line := fmt.Sprintf("%s: %s, confirmed %s, revision %d, member list %d %v",
		s.Address, votingState(status), confirmationAge(status), status.Revision, status.MembershipVersion, status.Members)
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

// confirmationAge returns how long ago a majority confirmed the control plane's state, and whether that is too long ago
// for the control plane to act on it.
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
