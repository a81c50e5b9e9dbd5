package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

func TestQuotas_LendsNothingWithoutLimitedTenant(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	settings := nodesettings.Settings{NodeName: "one", TimingBounds: nodesettings.TimingBounds{QuotaWindowS: 5, QuotaOverage: 0.1}}
	quotas := NewQuotas(settings, nil, func() time.Time { return now })
	neighbours := &peer.Neighbours{Version: 1, List: []peer.Neighbour{{Name: "two", Address: "there"}, {Name: "three", Address: "here"}}}
	quotas.handleUpdate(&peer.WatchResponse{Neighbours: neighbours, CountedForMs: 60000}, 3, true, now)
	assert.Equal(t, len(quotas.planOffers()), 0)
	quotas.setLimits([]configuration.Tenant{{Name: "free"}})
	assert.Equal(t, len(quotas.planOffers()), 0)
	quotas.setLimits([]configuration.Tenant{{Name: "free"}, {Name: "bound", RatePerS: 10}})
	assert.Assert(t, len(quotas.planOffers()) > 0)
}
