package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/replica"
)

const (
	firstKey  = "26tta828m82thhkm"
	secondKey = "irth5mgjy5rcpihh"
	tenants   = `[{"name":"one","apiKeys":["` + firstKey + `"],"priority":3},{"name":"two","apiKeys":["` + secondKey + `"],"priority":40}]`
	openRoute = `{"name":"open","hostname":"shop.example","pathPrefix":"/open/","routeType":"idempotent","public":true,
"timeoutMs":300,"targetLatencyMs":2500,"backend":"scribes","retryCount":2,"priority":2},`
)

// configure replaces the server's configuration by one with the tenants and an additional public route.
func (s *testServer) configure(t *testing.T, tenants string) {
	t.Helper()
	document := strings.Replace(testDocument, `"routeTable":[`, `"tenants":`+tenants+`,"routeTable":[`+openRoute, 1)
	read, err := configuration.Parse([]byte(document))
	assert.NilError(t, err)
	next := *s.snapshot.Load()
	next.Table = configuration.NewTable(read, nil)
	s.snapshot.Store(&next)
}

// startServerWithTenants starts a server with the tenants and one replica that answers every request.
func startServerWithTenants(t *testing.T) (*testServer, *scriptedReplica) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	server := startServer(t, upstream)
	server.configure(t, tenants)
	return server, upstream
}

func keyHeader(key string) string { return "X-Api-Key: " + key }

func TestHandler_ForwardsTenantButNeverTheKey(t *testing.T) {
	forged := []string{replica.HeaderTenant + ": two", "ferryspar-tenant: three", "Connection: Ferryspar-Tenant, X-Api-Key"}
	for _, name := range []string{"X-Api-Key", "x-api-key", "X-API-KEY", "x-aPi-keY"} {
		t.Run(name, func(t *testing.T) {
			server, upstream := startServerWithTenants(t)
			response := server.send(t, post("/once/", "a", append(forged, name+": "+firstKey)...))
			assert.Equal(t, response.status, http.StatusOK)
			header := upstream.requests[0].Header
			assert.DeepEqual(t, header.Values(replica.HeaderTenant), []string{"one"})
			assert.Equal(t, header.Get(replica.HeaderUrgency), "3", "the tenant's priority")
			assert.Assert(t, !strings.Contains(fmt.Sprint(header), firstKey))
		})
	}
}

func TestHandler_ForwardsNoTenantWhereNoneIsConfigured(t *testing.T) {
	upstream := startReplica(t, "i-1", respondWith("200 OK", "seal-1", "words"))
	response := startServer(t, upstream).send(t, post("/once/", "a", keyHeader(firstKey), replica.HeaderTenant+": one"))
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, len(upstream.requests[0].Header.Values(replica.HeaderTenant)), 0)
	assert.Equal(t, len(upstream.requests[0].Header.Values(replica.HeaderAPIKey)), 0)
}

func TestHandler_RejectsRequestWithoutOneKnownKey(t *testing.T) {
	server, upstream := startServerWithTenants(t)
	cases := map[string][]string{
		"no key":             {},
		"empty key":          {keyHeader("")},
		"unknown key":        {keyHeader("unknown")},
		"same key twice":     {keyHeader(firstKey), keyHeader(firstKey)},
		"two known keys":     {keyHeader(firstKey), keyHeader(secondKey)},
		"unknown beside":     {keyHeader(firstKey), "x-api-key: unknown"},
		"list of keys":       {keyHeader(firstKey + ", " + secondKey)},
		"key in capitals":    {keyHeader(strings.ToUpper(firstKey))},
		"digest of key":      {keyHeader(configuration.APIKey(firstKey).Digest())},
		"claimed tenant":     {replica.HeaderTenant + ": one"},
		"authorization line": {"Authorization: " + firstKey},
	}
	for name, lines := range cases {
		t.Run(name, func(t *testing.T) {
			response := server.send(t, post("/once/", "a", lines...))
			assert.Equal(t, response.status, http.StatusUnauthorized)
			assert.Assert(t, !strings.Contains(response.body, firstKey))
		})
	}
	assert.Equal(t, upstream.requestCount(), 0)
	assert.DeepEqual(t, server.handler.Rejections.Snapshot(), map[string]uint64{"one known key is needed": uint64(len(cases))})
}

func TestHandler_PublicRouteTakesTenantOfKnownKey(t *testing.T) {
	for tenant, lines := range map[string][]string{
		"":    {replica.HeaderTenant + ": one"},
		"one": {keyHeader(firstKey)},
		"two": {keyHeader(secondKey), replica.HeaderTenant + ": one"},
	} {
		t.Run("tenant "+tenant, func(t *testing.T) {
			server, upstream := startServerWithTenants(t)
			response := server.send(t, post("/open/", "a", lines...))
			assert.Equal(t, response.status, http.StatusOK)
			assert.Equal(t, upstream.requests[0].Header.Get(replica.HeaderTenant), tenant)
		})
	}
}

func TestHandler_PublicRouteNeedsNoKey(t *testing.T) {
	server, upstream := startServerWithTenants(t)
	for _, lines := range [][]string{{keyHeader("unknown")}, {keyHeader(firstKey), keyHeader(secondKey)}} {
		assert.Equal(t, server.send(t, post("/open/", "a", lines...)).status, http.StatusOK)
	}
	for _, read := range upstream.requests {
		assert.Equal(t, len(read.Header.Values(replica.HeaderTenant))+len(read.Header.Values(replica.HeaderAPIKey)), 0)
	}
	assert.Equal(t, upstream.requests[0].Header.Get(replica.HeaderUrgency), "2", "the route's priority")
}

func TestHandler_EmptyTenantListServesOnlyPublicRoutes(t *testing.T) {
	server, _ := startServerWithTenants(t)
	server.configure(t, "[]")
	assert.Equal(t, server.send(t, post("/once/", "a", keyHeader(firstKey))).status, http.StatusUnauthorized)
	assert.Equal(t, server.send(t, post("/open/", "a", keyHeader(firstKey))).status, http.StatusOK)
}

func TestHandler_DoesNotRetryAfterKeyRevoked(t *testing.T) {
	var server *testServer
	failing := func(connection net.Conn, request *http.Request) bool {
		server.configure(t, strings.Replace(tenants, firstKey, "another", 1))
		return respondWith("500 No", "seal", "words")(connection, request)
	}
	upstream, second := startReplica(t, "i-1", failing), startReplica(t, "i-2", failing)
	server = startServer(t, upstream, second)
	server.configure(t, tenants)
	response := server.send(t, post("/again/", "a", keyHeader(firstKey)))
	assert.Equal(t, response.status, http.StatusBadGateway, "it may have been executed")
	assert.Equal(t, upstream.requestCount()+second.requestCount(), 1)
}

func TestHandler_RetriesUnderKeysNewTenant(t *testing.T) {
	var server *testServer
	failing := func(connection net.Conn, request *http.Request) bool {
		server.configure(t, `[{"name":"three","apiKeys":["`+firstKey+`"]}]`)
		return respondWith("500 No", "seal", "words")(connection, request)
	}
	upstream, second := startReplica(t, "i-1", failing), startReplica(t, "i-2", failing)
	server = startServer(t, upstream, second)
	server.configure(t, tenants)
	server.send(t, post("/again/", "a", keyHeader(firstKey)))
	byTenant := map[string]int{}
	for _, read := range append(append([]*http.Request(nil), upstream.requests...), second.requests...) {
		byTenant[read.Header.Get(replica.HeaderTenant)]++
	}
	assert.DeepEqual(t, byTenant, map[string]int{"one": 1, "three": 1})
}

// testFreshness is a Freshness set by the test.
type testFreshness struct{ behind, stale, staleKeys atomic.Bool }

func (f *testFreshness) Behind() bool             { return f.behind.Load() }
func (f *testFreshness) Current(time.Time) bool   { return !f.stale.Load() }
func (f *testFreshness) KeysValid(time.Time) bool { return !f.staleKeys.Load() }

func TestHandler_StaleConfigurationRejectsOnlyTemporarily(t *testing.T) {
	server, _ := startServerWithTenants(t)
	freshness := &testFreshness{}
	server.handler.Freshness = freshness
	unknown := map[string]string{"key": post("/once/", "a", keyHeader("new")), "route": post("/new/", "a", keyHeader(firstKey))}
	final := map[string]int{"key": http.StatusUnauthorized, "route": http.StatusNotFound}
	for name, raw := range unknown {
		assert.Equal(t, server.send(t, raw).status, final[name])
	}
	for name, flag := range map[string]*atomic.Bool{"behind": &freshness.behind, "stale": &freshness.stale} {
		t.Run(name, func(t *testing.T) {
			flag.Store(true)
			defer flag.Store(false)
			for name, raw := range unknown {
				response := server.send(t, raw)
				assert.Equal(t, response.status, http.StatusServiceUnavailable, name)
				assert.Assert(t, response.header.Get("Retry-After") != "", name)
			}
			assert.Equal(t, server.send(t, post("/once/", "a", keyHeader(firstKey))).status, http.StatusOK)
		})
	}
}

func TestHandler_WaitsForNewerConfiguration(t *testing.T) {
	server, _ := startServerWithTenants(t)
	freshness := &testFreshness{}
	freshness.behind.Store(true)
	server.handler.Freshness = freshness
	time.AfterFunc(50*time.Millisecond, func() {
		server.configure(t, strings.Replace(tenants, secondKey, "new", 1))
		freshness.behind.Store(false)
	})
	assert.Equal(t, server.send(t, post("/once/", "a", keyHeader("new"))).status, http.StatusOK)
}

func TestHandler_StaleKeysServeOnlyRequestsWithoutTenant(t *testing.T) {
	server, upstream := startServerWithTenants(t)
	freshness := &testFreshness{}
	freshness.staleKeys.Store(true)
	server.handler.Freshness = freshness
	for _, route := range []string{"/once/", "/open/"} {
		response := server.send(t, post(route, "a", keyHeader(firstKey)))
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		assert.Assert(t, response.header.Get("Retry-After") != "")
	}
	assert.Equal(t, upstream.requestCount(), 0)
	assert.Equal(t, server.send(t, post("/open/", "a")).status, http.StatusOK)
}

// testQuota rejects all requests of one tenant and records the tenants of all calls.
type testQuota struct {
	rejects   string
	requested []string
}

func (q *testQuota) Take(_ context.Context, tenant *configuration.Tenant, _ time.Time) error {
	q.requested = append(q.requested, tenant.Name)
	if tenant.Name == q.rejects {
		return apierror.NewRetryable(apierror.TenantRateLimited, 250*time.Millisecond)
	}
	return nil
}

func TestHandler_RejectsTenantOverQuotaBeforeQueueing(t *testing.T) {
	server, upstream := startServerWithTenants(t)
	quota := &testQuota{rejects: "two"}
	server.handler.Quota = quota
	response := server.send(t, post("/once/", "a", keyHeader(secondKey)))
	assert.Equal(t, response.status, http.StatusTooManyRequests)
	assert.Equal(t, response.header.Get("Retry-After"), "0.250")
	assert.Equal(t, upstream.requestCount(), 0)
	assert.Equal(t, server.send(t, post("/once/", "a", keyHeader(firstKey))).status, http.StatusOK)
	assert.Equal(t, server.send(t, post("/open/", "a")).status, http.StatusOK)
	assert.DeepEqual(t, quota.requested, []string{"two", "one"})
	assert.DeepEqual(t, server.handler.Rejections.Snapshot(), map[string]uint64{"tenant is beyond its limit": 1})
}
