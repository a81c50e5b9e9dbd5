package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/dataplane"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
)

const (
	oldKey   = "26tta828m82thhkm"
	newKey   = "irth5mgjy5rcpihh"
	otherKey = "k3n1q0w7x5zz4y2b"
	// publicRoute is a route of document that needs no key.
	publicRoute = `,{"name":"open","hostname":"shop.example","pathPrefix":"/open/","routeType":"streaming",
	"timeoutMs":20000,"targetLatencyMs":600,"backend":"scribes","retryCount":1,"public":true}`
	// applyTimeout is configApplyMs of these tests, revokeTimeout revokeMs.
	applyTimeout  = 2 * time.Second
	revokeTimeout = 5 * time.Second
)

// tenantList returns the tenant "one" with the keys and the tenant "other".
func tenantList(keys ...string) string {
	return fmt.Sprintf(
		`[{"name":"one","apiKeys":["%s"],"priority":2},{"name":"other","apiKeys":["%s"],"priority":1}]`,
		strings.Join(keys, `","`),
		otherKey,
	)
}

func documentWithTenants(revision int, tenants string) string {
	return strings.Replace(document(revision, publicRoute), `"backends":`, `"tenants":`+tenants+`,"backends":`, 1)
}

// startTenantFleet starts a fleet whose configuration has tenants; failClosed is its setting RevocationClosed.
func startTenantFleet(t *testing.T, failClosed bool, edges int, replicas ...*standInReplica) *fleet {
	f := startFleet(t, 0, replicas...)
	f.adjustSettings = func(settings *nodesettings.Settings) {
		settings.TimingBounds.RevocationClosed = failClosed
		settings.TimingBounds.RevokeMs = float64(revokeTimeout.Milliseconds())
		settings.TimingBounds.ConfigApplyMs = float64(applyTimeout.Milliseconds())
	}
	for number := 1; number <= edges; number++ {
		f.startEdge(edgeHost(number))
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, documentWithTenants(1, tenantList(oldKey))).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	for number := 1; number <= edges; number++ {
		assert.Equal(t, f.requestWithKey(number, otherKey, "/quick/", "swift").status, http.StatusOK, "it subscribes to the model")
	}
	return f
}

// patchKeys replaces the keys of the tenant "one".
func (f *fleet) patchKeys(revision int, keys ...string) reply {
	body := fmt.Sprintf(`{"revision":%d,"upsert":{"tenants":%s}}`, revision+1, tenantList(keys...))
	return f.call(http.MethodPatch, coreHost(2)+":8166", "/ferryspar/config", body, map[string]string{"If-Match": fmt.Sprint(revision)})
}

func (f *fleet) partitionEdge(edge int, partitioned bool) {
	for number := 1; number <= f.cores; number++ {
		f.network.partition(edgeHost(edge), coreHost(number), partitioned)
	}
}

func TestTenants_ReplicaSeesTenantNameButNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startTenantFleet(t, false, 1, standIn)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, otherKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, "", "/open/", "swift").status, http.StatusOK)
		for _, key := range []string{"", newKey, "forged"} {
			assert.Equal(t, f.requestWithKey(1, key, "/quick/", "swift").status, http.StatusUnauthorized)
		}
		received := []string{}
		for _, run := range standIn.executed() {
			received = append(received, run.header.Get(replica.HeaderTenant)+" "+run.header.Get(replica.HeaderUrgency))
			assert.Equal(t, len(run.header.Values(replica.HeaderAPIKey)), 0)
		}
		assert.DeepEqual(t, received, []string{"other 1", "one 2", "other 1", " 0"})
	})
}

func TestTenants_KeyRotationNeverRejectsKeyInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenantFleet(t, false, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		revision := 1
		for _, keys := range [][]string{{oldKey, newKey}, {newKey}} {
			assert.Equal(t, f.patchKeys(revision, keys...).status, http.StatusOK)
			revision++
			time.Sleep(applyTimeout)
			for edge := 1; edge <= 2; edge++ {
				assert.Equal(t, f.requestWithKey(edge, newKey, "/quick/", "swift").status, http.StatusOK)
				left := map[int]int{2: http.StatusOK, 1: http.StatusUnauthorized}[len(keys)]
				assert.Equal(t, f.requestWithKey(edge, oldKey, "/quick/", "swift").status, left)
			}
		}
		removed := f.call(
			http.MethodPatch,
			coreHost(1)+":8166",
			"/ferryspar/config",
			`{"revision":4,"remove":{"tenants":["one"]}}`,
			map[string]string{"If-Match": "3"},
		)
		assert.Equal(t, removed.status, http.StatusOK)
		time.Sleep(applyTimeout)
		assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusUnauthorized)
		assert.Equal(t, f.requestWithKey(1, otherKey, "/quick/", "swift").status, http.StatusOK)
	})
}

func TestTenants_QueuedRequestNotRunAfterKeyIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startTenantFleet(t, false, 1, standIn)
		done := make(chan reply, 2)
		for _, key := range []string{oldKey, otherKey} {
			go func() { done <- f.requestWithKey(1, key, "/patient/", "rare") }()
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, f.patchKeys(1, newKey).status, http.StatusOK)
		statuses := map[int]int{}
		for range 2 {
			statuses[(<-done).status]++
		}
		assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: 1, http.StatusUnauthorized: 1})
		runs := standIn.executed()
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, runs[1].header.Get(replica.HeaderTenant), "other")
	})
}

func TestTenants_NoKeyRejectedBeforeConfigurationIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startTenantFleet(t, true, 1, standIn)
		f.partitionEdge(1, true)
		f.kill(edgeHost(1))
		f.startEdge(edgeHost(1))
		time.Sleep(time.Second)
		for _, key := range []string{"", oldKey, newKey} {
			assert.Equal(t, f.requestWithKey(1, key, "/quick/", "swift").status, http.StatusServiceUnavailable)
		}
		f.partitionEdge(1, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, len(standIn.executed()), 2)
	})
}

func TestTenants_InvalidConfigurationErrorNamesReasonButNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenantFleet(t, false, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		for _, tenants := range []string{
			fmt.Sprintf(`[{"name":"a","apiKeys":["%s"]},{"name":"b","apiKeys":["%s"]}]`, newKey, newKey),
			fmt.Sprintf(`[{"apiKeys":["%s"]}]`, newKey),
			fmt.Sprintf(`[{"name":"a","apiKeys":["%s"],"ratePerS":-1}]`, newKey),
		} {
			answer := f.putConfiguration(1, 1, documentWithTenants(2, tenants))
			assert.Equal(t, answer.status, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(answer.body, "tenants") && !strings.Contains(answer.body, newKey), answer.body)
		}
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
	})
}

func TestTenants_NoKeyInLogsRecordsOrStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startFleet(t, 0, standIn)
		var logged, recorded bytes.Buffer
		logrus.SetOutput(&logged)
		logrus.SetFormatter(&logrus.JSONFormatter{})
		logrus.SetLevel(logrus.DebugLevel)
		defer logrus.SetLevel(logrus.InfoLevel)
		edge := dataplane.New(f.settings(edgeHost(1), true, 1, 2, 3), "", f.network.machine(edgeHost(1)))
		edge.SetRequestLog(requestlog.NewWriter(&recorded, 1<<20, time.Now))
		f.launch(edgeHost(1), edge.Run)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.putConfiguration(1, 0, documentWithTenants(1, tenantList(oldKey))).status, http.StatusOK)
		assert.Equal(
			t,
			f.putConfiguration(1, 1, documentWithTenants(2, `[{"name":"a","apiKeys":"`+oldKey+`"}]`)).status,
			http.StatusBadRequest,
		)
		time.Sleep(time.Second)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusUnauthorized)
		assert.Equal(t, f.patchKeys(1, newKey).status, http.StatusOK)
		rejections := f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/refusals", "", nil).body
		status := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/status", "", nil).body
		time.Sleep(time.Second)
		logrus.SetLevel(logrus.InfoLevel)
		synctest.Wait()
		assert.Equal(t, strings.TrimSpace(rejections), `{"one known key is needed":1}`)
		shown := map[string]string{"log": logged.String(), "status": status, "refusals": rejections, "record": unpackedRecord(t, &recorded)}
		for name, text := range shown {
			for _, key := range []string{oldKey, newKey, otherKey} {
				assert.Assert(t, !strings.Contains(text, key), name)
			}
		}
		assert.Assert(t, strings.Contains(shown["record"], `"sha256:`) && strings.Contains(shown["record"], "/one"), shown["record"])
	})
}

// unpackedRecord returns the content of a request log, with its configurations decompressed and the tenants of its requests.
func unpackedRecord(t *testing.T, recorded *bytes.Buffer) string {
	text := recorded.String()
	entries, damages, err := requestlog.Read(recorded)
	assert.NilError(t, err)
	assert.Equal(t, len(damages), 0)
	for _, entry := range entries {
		document, err := configuration.Decompress(entry.PackedConfiguration)
		if entry.Kind == requestlog.KindConfiguration {
			assert.NilError(t, err)
		}
		text += string(document) + "/" + entry.Tenant + "\n"
	}
	return text
}
