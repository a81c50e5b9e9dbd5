package nodesettings

import (
	"fmt"
	"net"
	"strings"

	"github.com/pkg/errors"
)

const (
	// internalPortCount is the required length of Settings.InternalPorts: the first and the last port.
	internalPortCount = 2
	maxPort           = 65535
)

// fieldCheck is the result of one check of a field.
type fieldCheck struct {
	failed  bool
	message string // including the name of the field
}

// Validate checks the settings for a node that provides the service, and returns one error that lists all invalid fields.
func (s Settings) Validate(service Service) error {
	checks := s.commonChecks()
	switch service {
	case ServiceDataPlane:
		checks = append(checks,
			fieldCheck{s.BindAddresses.DataPlane == "", "bindAddresses.dataPlane is missing"},
			fieldCheck{s.BindAddresses.Readiness == "", "bindAddresses.readiness is missing"},
		)
	case ServiceControlPlane:
		checks = append(checks,
			fieldCheck{s.BindAddresses.ControlPlane == "", "bindAddresses.controlPlane is missing"},
			fieldCheck{s.DataDir == "", "dataDir is missing"},
		)
	}
	checks = append(checks, s.addressChecks()...)
	var messages []string
	for _, check := range checks {
		if check.failed {
			messages = append(messages, check.message)
		}
	}
	if len(messages) > 0 {
		return errors.New("settings: " + strings.Join(messages, "; "))
	}
	return nil
}

// commonChecks returns the checks of fields that every node requires.
func (s Settings) commonChecks() []fieldCheck {
	bounds := s.TimingBounds
	hasNegativeQuota := bounds.QuotaOverage < 0 || bounds.QuotaSlack < 0
	lacksWindow := s.CloudAPI.HasDuty(DutyUsage) && (bounds.UsageWindowS <= 0 || bounds.UsageDelayS <= 0)
	return []fieldCheck{
		{s.NodeName == "", "nodeName is missing"},
		{net.ParseIP(s.IPAddress) == nil, fmt.Sprintf("ipAddress %q is no IP address", s.IPAddress)},
		{len(s.InternalPorts) != internalPortCount, "internalPorts must name a first and a last port"},
		{len(s.SeedNodes) == 0, "seedNodes names no daemon"},
		{s.Zone == "", "zone is missing"},
		{s.CloudAPI.Address == "", "cloudApi.address is missing"},
		{bounds.LeaseMs <= 0, "timingBounds.leaseMs must be above 0"},
		{bounds.ContactMs <= 0, "timingBounds.contactMs must be above 0"},
		{bounds.RevocationClosed && bounds.RevokeMs <= 0, "timingBounds.revokeMs must be above 0"},
		{bounds.QuotaWindowS <= 0, "timingBounds.quotaWindowS must be above 0"},
		{hasNegativeQuota, "timingBounds.quotaOverage and quotaSlack must not be below 0"},
		{s.CloudAPI.DutyPerS < 0, "cloudApi.dutyPerS must not be below 0"},
		{lacksWindow, "timingBounds.usageWindowS and usageDelayS must be above 0 where cloudApi.duties has usage_report"},
		{bounds.HistoryS < 0, "timingBounds.historyS must not be below 0"},
		{s.HeartbeatMs <= 0, "heartbeatMs must be above 0"},
	}
}

// addressChecks returns the checks of the port range and of each seed node.
func (s Settings) addressChecks() []fieldCheck {
	var checks []fieldCheck
	if len(s.InternalPorts) == internalPortCount {
		first, last := s.InternalPorts[0], s.InternalPorts[1]
		isInvalid := first <= 0 || last < first || last > maxPort
		checks = append(checks, fieldCheck{isInvalid, "internalPorts must rise and lie between 1 and 65535"})
	}
	for _, seed := range s.SeedNodes {
		_, _, err := net.SplitHostPort(seed)
		checks = append(checks, fieldCheck{err != nil, fmt.Sprintf("seedNodes: %q is no address", seed)})
	}
	return checks
}
