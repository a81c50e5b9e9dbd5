package proxy

import (
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

// Freshness says how sure the data plane is that the configuration in use is the newest. Any goroutine may call it.
type Freshness interface {
	// Behind reports whether a newer configuration is known of that has not been adopted yet.
	Behind() bool
	// Current reports whether nothing newer can have been in force for long, so that what is unknown here may be rejected.
	Current(now time.Time) bool
	// KeysValid reports whether no key can have been revoked longer ago than the settings allow it to be served.
	KeysValid(now time.Time) bool
}

const (
	// newerConfigurationTimeout is how long a request waits for a newer configuration that is known of and may allow it.
	newerConfigurationTimeout = 400 * time.Millisecond
	// staleRetryAfter is when a client may try again if a newer configuration may allow its request.
	staleRetryAfter = 200 * time.Millisecond
)

// credential is the key that a request carries. Only its hash is kept.
type credential struct {
	hash    configuration.KeyHash
	present bool
}

// credentialFrom reads the key of a request. Several keys count as none.
func credentialFrom(header http.Header) credential {
	keys := header.Values(replica.HeaderAPIKey)
	if len(keys) != 1 || keys[0] == "" {
		return credential{}
	}
	return credential{hash: configuration.HashKey(keys[0]), present: true}
}

// authorization is what one version of the configuration allows a request: its route, and the tenant that it belongs to.
type authorization struct {
	table      *configuration.Table
	route      *configuration.Route
	credential credential
	tenant     configuration.TenantNumber
}

// resolveAccess finds the route and the tenant of a request in a table.
func resolveAccess(table *configuration.Table, host, uri string, presented credential) (authorization, *apierror.Error) {
	route, found := table.FindRoute(host, pathOf(uri))
	if !found {
		return authorization{}, apierror.New(apierror.UnknownRoute, "")
	}
	tenant, rejection := findTenant(table, route.Public, presented)
	return authorization{table: table, route: route, credential: presented, tenant: tenant}, rejection
}

// findTenant finds whose the key is. Public routes need none, but a request belongs to the tenant of a known one.
func findTenant(table *configuration.Table, public bool, presented credential) (configuration.TenantNumber, *apierror.Error) {
	if !table.RequiresKeys() {
		return configuration.NoTenant, nil
	}
	tenant := configuration.NoTenant
	if presented.present {
		tenant = table.FindTenant(presented.hash)
	}
	if tenant == configuration.NoTenant && !public {
		return tenant, apierror.New(apierror.UnknownKey, "")
	}
	return tenant, nil
}

// authorize finds what the configuration allows the request. It is rejected for good only where the configuration is known
// to be new: what a newer one may allow waits for it briefly, and the client is then asked to retry later.
func (h *Handler) authorize(request *http.Request, arrived time.Time) (*routing.Snapshot, authorization, error) {
	presented := credentialFrom(request.Header)
	for {
		keysValid := h.keysValid()
		snapshot := h.snapshot.Load()
		allowed, rejection := resolveAccess(snapshot.Table, request.Host, request.RequestURI, presented)
		if rejection == nil && allowed.tenant != configuration.NoTenant && !keysValid {
			return nil, authorization{}, apierror.NewRetryable(apierror.OutdatedKeys, staleRetryAfter)
		}
		if rejection == nil {
			return snapshot, allowed, nil
		}
		if !h.behind() || h.clock().Sub(arrived) > newerConfigurationTimeout || !awaitPollInterval(request.Context()) {
			return nil, authorization{}, h.confirmRejection(rejection)
		}
	}
}

// confirmRejection returns the rejection where the configuration is known to be new, else asks the client to retry later.
func (h *Handler) confirmRejection(rejection *apierror.Error) *apierror.Error {
	if h.Freshness == nil || !h.behind() && h.Freshness.Current(h.clock()) {
		return rejection
	}
	return apierror.NewRetryable(apierror.OutdatedConfiguration, staleRetryAfter)
}

func (h *Handler) behind() bool { return h.Freshness != nil && h.Freshness.Behind() }

// keysValid must be called before the table is read: a configuration that is adopted in between then only makes the
// decision stricter.
func (h *Handler) keysValid() bool { return h.Freshness == nil || h.Freshness.KeysValid(h.clock()) }

// reauthorize checks the key again before the request is sent to a replica: it may have been revoked while the request was
// queued. A response that has begun goes on.
func (e *exchange) reauthorize() *apierror.Error {
	if e.headerSent {
		return nil
	}
	keysValid := e.handler.keysValid()
	table := e.handler.snapshot.Load().Table
	parsed := e.parsed
	if table != parsed.authorization.table {
		public := parsed.route.Public
		if route, found := table.FindRoute(parsed.upstream.Host, pathOf(parsed.upstream.URI)); found {
			public = public || route.Public
		}
		tenant, rejection := findTenant(table, public, parsed.authorization.credential)
		if rejection != nil {
			return e.handler.confirmRejection(rejection)
		}
		parsed.assignTenant(table, tenant)
	}
	if parsed.authorization.tenant != configuration.NoTenant && !keysValid {
		return apierror.NewRetryable(apierror.OutdatedKeys, staleRetryAfter)
	}
	return nil
}

// pathOf is the path of a request target.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// assignTenant makes the request the tenant's of a newer table. Its priority stays that of its arrival.
func (p *parsedRequest) assignTenant(table *configuration.Table, tenant configuration.TenantNumber) {
	p.authorization.table, p.authorization.tenant = table, tenant
	p.request.Tenant = tenant
	p.request.AllowedRegions = table.Tenant(tenant).IntersectRegions(p.route.AllowedRegions)
	p.upstream.Tenant = table.Tenant(tenant).NameOrEmpty()
}
