package client

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

// configure puts a configuration with the tenants and one more, public, route in the place of the server's.
func (d *testServer) configure(t *testing.T, tenants string) {
	t.Helper()
	document := strings.Replace(testDocument, `"routeTable":[`, `"tenants":`+tenants+`,"routeTable":[`+openRoute, 1)
	read, err := configuration.Parse([]byte(document))
	assert.NilError(t, err)
	next := *d.fleet.Load()
	next.Table = configuration.NewTable(read, nil)
	d.fleet.Store(&next)
}

// startTenants starts a server with the tenants and one replica that answers.
func startTenants(t *testing.T) (*testServer, *scripted) {
	one := startScripted(t, "i-1", answers("200 OK", "seal-1", "words"))
	server := startServer(t, time.Second, time.Second, one)
	server.configure(t, tenants)
	return server, one
}

func keyed(key string) string { return "X-Api-Key: " + key }

func TestGivenAKeyThenTheReplicaSeesItsTenantAndNeitherTheKeyNorWhatTheClientClaimed(t *testing.T) {
	forged := []string{replica.HeaderTenant + ": two", "ferryspar-tenant: three", "Connection: Ferryspar-Tenant, X-Api-Key"}
	for _, name := range []string{"X-Api-Key", "x-api-key", "X-API-KEY", "x-aPi-keY"} {
		server, one := startTenants(t)
		answer := server.connect(t).ask("POST", post("/once/", "a", append(forged, name+": "+firstKey)...))
		assert.Equal(t, answer.status, http.StatusOK)
		seen := one.read[0].Header
		assert.DeepEqual(t, seen.Values(replica.HeaderTenant), []string{"one"})
		assert.Equal(t, seen.Get(replica.HeaderUrgency), "3", "the tenant's priority")
		assert.Assert(t, !strings.Contains(fmt.Sprint(seen), firstKey))
	}
}

func TestGivenNoTenantsThenNeitherAKeyNorATenantReachesTheReplica(t *testing.T) {
	one := startScripted(t, "i-1", answers("200 OK", "seal-1", "words"))
	answer := startServer(t, time.Second, time.Second, one).connect(t).ask("POST", post("/once/", "a", keyed(firstKey), replica.HeaderTenant+": one"))
	assert.Equal(t, answer.status, http.StatusOK)
	assert.Equal(t, len(one.read[0].Header.Values(replica.HeaderTenant)), 0)
	assert.Equal(t, len(one.read[0].Header.Values(replica.HeaderKey)), 0)
}

func TestGivenNoKeyOrSeveralOrAnUnknownOneThenTheRequestIsRefusedAndCounted(t *testing.T) {
	server, one := startTenants(t)
	cases := [][]string{
		{}, {keyed("")}, {keyed("unknown")}, {keyed(firstKey), keyed(firstKey)}, {keyed(firstKey), keyed(secondKey)},
		{keyed(firstKey), "x-api-key: unknown"}, {keyed(firstKey + ", " + secondKey)}, {keyed(strings.ToUpper(firstKey))},
		{keyed(configuration.APIKey(firstKey).Digest())}, {replica.HeaderTenant + ": one"}, {"Authorization: " + firstKey},
	}
	for _, lines := range cases {
		answer := server.connect(t).ask("POST", post("/once/", "a", lines...))
		assert.Equal(t, answer.status, http.StatusUnauthorized, "%q", lines)
		assert.Assert(t, !strings.Contains(answer.body, firstKey))
	}
	assert.Equal(t, one.times(), 0)
	assert.DeepEqual(t, server.handler.Refusals.Counts(), map[string]uint64{"one known key is needed": uint64(len(cases))})
}

func TestGivenAPublicRouteThenNoKeyIsNeededButAKnownOneTellsTheTenant(t *testing.T) {
	for tenant, lines := range map[string][]string{
		"": {replica.HeaderTenant + ": one"}, "one": {keyed(firstKey)}, "two": {keyed(secondKey), replica.HeaderTenant + ": one"},
	} {
		server, one := startTenants(t)
		answer := server.connect(t).ask("POST", post("/open/", "a", lines...))
		assert.Equal(t, answer.status, http.StatusOK)
		assert.Equal(t, one.read[0].Header.Get(replica.HeaderTenant), tenant)
	}
	server, one := startTenants(t)
	for _, lines := range [][]string{{keyed("unknown")}, {keyed(firstKey), keyed(secondKey)}} {
		assert.Equal(t, server.connect(t).ask("POST", post("/open/", "a", lines...)).status, http.StatusOK)
	}
	for _, read := range one.read {
		assert.Equal(t, len(read.Header.Values(replica.HeaderTenant))+len(read.Header.Values(replica.HeaderKey)), 0)
	}
	assert.Equal(t, one.read[0].Header.Get(replica.HeaderUrgency), "2", "the route's priority")
}

func TestGivenAnEmptyListOfTenantsThenOnlyPublicRoutesAreServed(t *testing.T) {
	server, _ := startTenants(t)
	server.configure(t, "[]")
	assert.Equal(t, server.connect(t).ask("POST", post("/once/", "a", keyed(firstKey))).status, http.StatusUnauthorized)
	assert.Equal(t, server.connect(t).ask("POST", post("/open/", "a", keyed(firstKey))).status, http.StatusOK)
}

func TestGivenAKeyTakenAwayBetweenTwoTriesThenThereIsNoSecondAndNoPromise(t *testing.T) {
	var server *testServer
	failing := func(connection net.Conn, request *http.Request) bool {
		server.configure(t, strings.Replace(tenants, firstKey, "another", 1))
		return answers("500 No", "seal", "words")(connection, request)
	}
	one, two := startScripted(t, "i-1", failing), startScripted(t, "i-2", failing)
	server = startServer(t, time.Second, time.Second, one, two)
	server.configure(t, tenants)
	answer := server.connect(t).ask("POST", post("/again/", "a", keyed(firstKey)))
	assert.Equal(t, answer.status, http.StatusBadGateway, "it may have run")
	assert.Equal(t, one.times()+two.times(), 1)
}

func TestGivenAKeyThatPassesToAnotherTenantBetweenTwoTriesThenTheSecondIsTheOthers(t *testing.T) {
	var server *testServer
	failing := func(connection net.Conn, request *http.Request) bool {
		server.configure(t, `[{"name":"three","apiKeys":["`+firstKey+`"]}]`)
		return answers("500 No", "seal", "words")(connection, request)
	}
	one, two := startScripted(t, "i-1", failing), startScripted(t, "i-2", failing)
	server = startServer(t, time.Second, time.Second, one, two)
	server.configure(t, tenants)
	server.connect(t).ask("POST", post("/again/", "a", keyed(firstKey)))
	seen := map[string]int{}
	for _, read := range append(append([]*http.Request(nil), one.read...), two.read...) {
		seen[read.Header.Get(replica.HeaderTenant)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"one": 1, "three": 1})
}

// testCurrency is a data plane's knowledge of how new its configuration is.
type testCurrency struct{ behind, dated, datedKeys atomic.Bool }

func (c *testCurrency) Behind() bool            { return c.behind.Load() }
func (c *testCurrency) Current(time.Time) bool  { return !c.dated.Load() }
func (c *testCurrency) KeysHold(time.Time) bool { return !c.datedKeys.Load() }

func TestGivenAConfigurationThatMayBeDatedThenWhatANewerOneMayAllowIsAskedToComeAgain(t *testing.T) {
	server, _ := startTenants(t)
	currency := &testCurrency{}
	server.handler.Currency = currency
	unknown := map[string]string{"key": post("/once/", "a", keyed("new")), "route": post("/new/", "a", keyed(firstKey))}
	certain := map[string]int{"key": http.StatusUnauthorized, "route": http.StatusNotFound}
	for name, raw := range unknown {
		assert.Equal(t, server.connect(t).ask("POST", raw).status, certain[name])
	}
	for _, doubt := range []*atomic.Bool{&currency.behind, &currency.dated} {
		doubt.Store(true)
		for name, raw := range unknown {
			answer := server.connect(t).ask("POST", raw)
			assert.Equal(t, answer.status, http.StatusServiceUnavailable, name)
			assert.Assert(t, answer.header.Get("Retry-After") != "", name)
		}
		assert.Equal(t, server.connect(t).ask("POST", post("/once/", "a", keyed(firstKey))).status, http.StatusOK)
		doubt.Store(false)
	}
}

func TestGivenANewerConfigurationOnItsWayThenARequestWithANewKeyWaitsForItAndIsServed(t *testing.T) {
	server, _ := startTenants(t)
	currency := &testCurrency{}
	currency.behind.Store(true)
	server.handler.Currency = currency
	time.AfterFunc(50*time.Millisecond, func() {
		server.configure(t, strings.Replace(tenants, secondKey, "new", 1))
		currency.behind.Store(false)
	})
	assert.Equal(t, server.connect(t).ask("POST", post("/once/", "a", keyed("new"))).status, http.StatusOK)
}

func TestGivenKeysThatMayHaveBeenTakenAwayThenOnlyRequestsWithoutATenantAreServed(t *testing.T) {
	server, one := startTenants(t)
	currency := &testCurrency{}
	currency.datedKeys.Store(true)
	server.handler.Currency = currency
	for _, route := range []string{"/once/", "/open/"} {
		answer := server.connect(t).ask("POST", post(route, "a", keyed(firstKey)))
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		assert.Assert(t, answer.header.Get("Retry-After") != "")
	}
	assert.Equal(t, one.times(), 0)
	assert.Equal(t, server.connect(t).ask("POST", post("/open/", "a")).status, http.StatusOK)
}

// testQuota lets no request of one tenant pass and notes who asked.
type testQuota struct {
	refuses string
	asked   []string
}

func (q *testQuota) Take(_ context.Context, tenant *configuration.Tenant, _ QuotaPatience) error {
	q.asked = append(q.asked, tenant.Name)
	if tenant.Name == q.refuses {
		return apierror.NewRetryable(apierror.TenantRateLimited, 250*time.Millisecond)
	}
	return nil
}

func TestGivenATenantBeyondItsLimitThenItsRequestIsRefusedBeforeItIsQueued(t *testing.T) {
	server, one := startTenants(t)
	quota := &testQuota{refuses: "two"}
	server.handler.Quota = quota
	answer := server.connect(t).ask("POST", post("/once/", "a", keyed(secondKey)))
	assert.Equal(t, answer.status, http.StatusTooManyRequests)
	assert.Equal(t, answer.header.Get("Retry-After"), "0.250")
	assert.Equal(t, one.times(), 0)
	assert.Equal(t, server.connect(t).ask("POST", post("/once/", "a", keyed(firstKey))).status, http.StatusOK)
	assert.Equal(t, server.connect(t).ask("POST", post("/open/", "a")).status, http.StatusOK)
	assert.DeepEqual(t, quota.asked, []string{"two", "one"})
	assert.DeepEqual(t, server.handler.Refusals.Counts(), map[string]uint64{"tenant is beyond its limit": 1})
}
