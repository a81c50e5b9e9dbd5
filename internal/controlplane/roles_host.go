package controlplane

import (
	"net/http"
	"time"

	"ferryspar/internal/controlplane/capacityorder"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/singleton"
	"ferryspar/internal/controlplane/usagereport"
	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/usage"
)

// usageRetention is how long the counts of a usage window are kept after its report is due, in case the node that sends it
// acquires the lease late.
const usageRetention = 30 * time.Second

// newUsageRelay returns the relay that holds the counts of tenants' requests, or nil if the platform wants none.
func (n *Node) newUsageRelay() *demand.UsageRelay {
	if !n.settings.CloudAPI.HasDuty(nodesettings.DutyUsage) {
		return nil
	}
	return &demand.UsageRelay{
		Ledger:    usage.NewLedger(),
		Windows:   n.usageWindows(),
		Retention: nodesettings.Seconds(n.settings.TimingBounds.UsageDelayS) + usageRetention,
		TimeOfDay: n.timeOfDay.Now,
	}
}

func (n *Node) usageWindows() usage.Windows {
	return usage.Windows{Length: nodesettings.Seconds(n.settings.TimingBounds.UsageWindowS)}
}

// newRoles returns the runner of the duties towards the platform that are performed by one node at a time.
func (n *Node) newRoles() *singleton.Runner {
	transport := peer.NewTransport(n.network, listConnectTimeout, listAckTimeout, 1)
	config := singleton.Config{
		Holder:         n.settings.NodeName,
		CallsPerSecond: n.settings.CloudAPI.DutyPerS,
		Lease:          n.scheduler.Lease(),
		Platform: &discovery.FencedClient{
			Address:    n.settings.CloudAPI.Address,
			HTTPClient: &http.Client{Transport: transport},
		},
		Clock: n.clock,
	}
	if n.usage != nil {
		n.usageReporter = usagereport.New(usagereport.Config{
			Store:     n.store,
			Ledger:    n.usage.Ledger,
			Windows:   n.usage.Windows,
			Delay:     nodesettings.Seconds(n.settings.TimingBounds.UsageDelayS),
			TimeOfDay: n.timeOfDay.Now,
		})
		config.Roles = append(config.Roles, n.usageReporter)
	}
	if n.settings.CloudAPI.HasDuty(nodesettings.DutyAutoscale) {
		n.capacityOrders = capacityorder.New(n.scheduler.Capacity())
		config.Roles = append(config.Roles, n.capacityOrders)
	}
	return singleton.NewRunner(config)
}
