package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
)

// daemonStatus is the status that one control plane returned, or why there is none.
type daemonStatus struct {
	Address string                `json:"address"`
	Status  *adminapi.FleetStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

// printStatusOfAll prints the status of every control plane that was named. It fails if none answers.
func printStatusOfAll() error {
	var statuses []daemonStatus
	answered := 0
	for _, address := range options.Control {
		status := fetchStatus(address)
		if status.Status != nil {
			answered++
		}
		statuses = append(statuses, status)
	}
	if options.JSON {
		content, err := json.Marshal(statuses)
		if err != nil {
			return err
		}
		fmt.Println(string(content))
	} else {
		for _, status := range statuses {
			fmt.Println(status)
		}
	}
	if answered == 0 {
		return errors.New("no control daemon answered")
	}
	return nil
}

// fetchStatus reads the status of one control plane, without trying it again.
func fetchStatus(address string) daemonStatus {
	client := newClient()
	client.Addresses = []string{address}
	client.Timeout = options.PerAddressTimeout
	response, err := client.Call(context.Background(), http.MethodGet, adminapi.PathStatus, "", nil)
	if err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	var status adminapi.FleetStatus
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	return daemonStatus{Address: address, Status: &status}
}

// String is one line: what the daemon is, how sure of its state it is, and what that state is.
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
	if len(status.SilentMembers) > 0 {
		line += ", does not hear " + strings.Join(status.SilentMembers, " ")
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

func confirmationAge(status *adminapi.FleetStatus) string {
	if status.ConfirmedAgeMs < 0 {
		return "never"
	}
	word := "ago"
	if !status.Fresh {
		word = "ago, too long"
	}
	return fmt.Sprintf("%d ms %s", status.ConfirmedAgeMs, word)
}
