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
	// applyBound is configApplyMs of the stories, revokeBound revokeMs.
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
)

// tenantsOf lists a tenant "one" with the keys and a tenant "other".
func tenantsOf(keys ...string) string {
	return fmt.Sprintf(
		`[{"name":"one","apiKeys":["%s"],"priority":2},{"name":"other","apiKeys":["%s"],"priority":1}]`,
		strings.Join(keys, `","`),
		otherKey,
	)
}

func documentOf(revision int, tenants string) string {
	return strings.Replace(document(revision, publicRoute), `"backends":`, `"tenants":`+tenants+`,"backends":`, 1)
}

// startTenants starts a fleet whose configuration has tenants; closed is revocationClosed of its settings.
func startTenants(t *testing.T, closed bool, edges int, replicas ...*standInReplica) *fleet {
	f := startFleet(t, 0, replicas...)
	f.adjust = func(settings *nodesettings.Settings) {
		settings.TimingBounds.RevocationClosed = closed
		settings.TimingBounds.RevokeMs = float64(revokeBound.Milliseconds())
		settings.TimingBounds.ConfigApplyMs = float64(applyBound.Milliseconds())
	}
	for number := 1; number <= edges; number++ {
		f.startEdge(edgeHost(number))
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.put(1, 0, 1, documentOf(1, tenantsOf(oldKey))).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	for number := 1; number <= edges; number++ {
		assert.Equal(t, f.requestWithKey(number, otherKey, "/quick/", "swift").status, http.StatusOK, "it follows the model from now on")
	}
	return f
}

func (f *fleet) requestWithKey(edge int, key, path, model string) reply {
	header := map[string]string{
		"Host": "shop.example", replica.HeaderAttempt: "attempt", replica.HeaderModel: model, replica.HeaderTokens: "100,20",
		replica.HeaderRemaining: "20000", replica.HeaderTenant: "forged",
	}
	if key != "" {
		header[replica.HeaderAPIKey] = key
	}
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", header)
}

// changeKeys gives the tenant "one" other keys, by a patch.
func (f *fleet) changeKeys(revision int, keys ...string) reply {
	body := fmt.Sprintf(`{"revision":%d,"upsert":{"tenants":%s}}`, revision+1, tenantsOf(keys...))
	return f.call(http.MethodPatch, coreHost(2)+":8166", "/ferryspar/config", body, map[string]string{"If-Match": fmt.Sprint(revision)})
}

func (f *fleet) cutEdge(edge int, cut bool) {
	for number := 1; number <= f.cores; number++ {
		f.network.partition(edgeHost(edge), coreHost(number), cut)
	}
}

func TestTenants_ReplicaSeesTenantNameButNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startTenants(t, false, 1, standIn)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, otherKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, "", "/open/", "swift").status, http.StatusOK)
		for _, key := range []string{"", newKey, "forged"} {
			assert.Equal(t, f.requestWithKey(1, key, "/quick/", "swift").status, http.StatusUnauthorized)
		}
		told := []string{}
		for _, run := range standIn.executed() {
			told = append(told, run.header.Get(replica.HeaderTenant)+" "+run.header.Get(replica.HeaderUrgency))
			assert.Equal(t, len(run.header.Values(replica.HeaderAPIKey)), 0)
		}
		assert.DeepEqual(t, told, []string{"other 1", "one 2", "other 1", " 0"})
	})
}

func TestTenants_KeyRotationNeverRejectsKeyInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenants(t, false, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		revision := 1
		for _, keys := range [][]string{{oldKey, newKey}, {newKey}} {
			assert.Equal(t, f.changeKeys(revision, keys...).status, http.StatusOK)
			revision++
			time.Sleep(applyBound)
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
		time.Sleep(applyBound)
		assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusUnauthorized)
		assert.Equal(t, f.requestWithKey(1, otherKey, "/quick/", "swift").status, http.StatusOK)
	})
}

func TestTenants_QueuedRequestNotRunAfterKeyIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startTenants(t, false, 1, standIn)
		done := make(chan reply, 2)
		for _, key := range []string{oldKey, otherKey} {
			go func() { done <- f.requestWithKey(1, key, "/patient/", "rare") }()
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, f.changeKeys(1, newKey).status, http.StatusOK)
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
		f := startTenants(t, true, 1, standIn)
		f.cutEdge(1, true)
		f.kill(edgeHost(1))
		f.startEdge(edgeHost(1))
		time.Sleep(time.Second)
		for _, key := range []string{"", oldKey, newKey} {
			assert.Equal(t, f.requestWithKey(1, key, "/quick/", "swift").status, http.StatusServiceUnavailable)
		}
		f.cutEdge(1, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, len(standIn.executed()), 2)
	})
}

func TestTenants_InvalidConfigurationErrorNamesReasonButNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTenants(t, false, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		for _, tenants := range []string{
			fmt.Sprintf(`[{"name":"a","apiKeys":["%s"]},{"name":"b","apiKeys":["%s"]}]`, newKey, newKey),
			fmt.Sprintf(`[{"apiKeys":["%s"]}]`, newKey),
			fmt.Sprintf(`[{"name":"a","apiKeys":["%s"],"ratePerS":-1}]`, newKey),
		} {
			answer := f.put(1, 1, 2, documentOf(2, tenants))
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
		edge.RecordTo(requestlog.NewWriter(&recorded, 1<<20, time.Now))
		f.launch(edgeHost(1), edge.Run)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.put(1, 0, 1, documentOf(1, tenantsOf(oldKey))).status, http.StatusOK)
		assert.Equal(t, f.put(1, 1, 2, documentOf(2, `[{"name":"a","apiKeys":"`+oldKey+`"}]`)).status, http.StatusBadRequest)
		time.Sleep(time.Second)
		assert.Equal(t, f.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, f.requestWithKey(1, newKey, "/quick/", "swift").status, http.StatusUnauthorized)
		assert.Equal(t, f.changeKeys(1, newKey).status, http.StatusOK)
		refusals := f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/refusals", "", nil).body
		status := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/status", "", nil).body
		time.Sleep(time.Second)
		logrus.SetLevel(logrus.InfoLevel)
		synctest.Wait()
		assert.Equal(t, strings.TrimSpace(refusals), `{"one known key is needed":1}`)
		shown := map[string]string{"log": logged.String(), "status": status, "refusals": refusals, "record": unpackedRecord(t, &recorded)}
		for name, text := range shown {
			for _, key := range []string{oldKey, newKey, otherKey} {
				assert.Assert(t, !strings.Contains(text, key), name)
			}
		}
		assert.Assert(t, strings.Contains(shown["record"], `"sha256:`) && strings.Contains(shown["record"], "/one"), shown["record"])
	})
}

// unpackedRecord is all that a record holds, with its configurations unpacked and the tenants of its requests.
func unpackedRecord(t *testing.T, recorded *bytes.Buffer) string {
	whole := recorded.String()
	entries, damages, err := requestlog.Read(recorded)
	assert.NilError(t, err)
	assert.Equal(t, len(damages), 0)
	for _, entry := range entries {
		document, err := configuration.Decompress(entry.PackedConfiguration)
		if entry.Kind == requestlog.KindConfiguration {
			assert.NilError(t, err)
		}
		whole += string(document) + "/" + entry.Tenant + "\n"
	}
	return whole
}
