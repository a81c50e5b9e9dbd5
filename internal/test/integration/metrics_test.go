package integration

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestMetrics_BothProgramsServeThemAsText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUsageFleet(t)
		u.sendFor(2 * usageWindow)
		figures := map[string][]string{
			edgeHost(1) + ":8167": {"ferryspar_ready 1", `ferryspar_attempts_total{backend="scribes",outcome="answered"}`,
				"ferryspar_configuration_revision 1"},
			coreHost(1) + ":8166": {"ferryspar_configuration_revision 1", "ferryspar_replicas_listed 4",
				"ferryspar_usage_closed_window", "ferryspar_placement_lease_fence"},
		}
		for address, wanted := range figures {
			got := u.call(http.MethodGet, address, "/ferryspar/metrics", "", nil)
			assert.Equal(t, got.status, http.StatusOK)
			for _, line := range wanted {
				assert.Assert(t, strings.Contains(got.body, line), "%s lacks %s:\n%s", address, line, got.body)
			}
		}
	})
}
