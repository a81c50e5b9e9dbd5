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

// Freshness reports whether the configuration in use is up to date. Implementations must be safe for concurrent use.
type Freshness interface {
	// Behind reports whether a newer configuration is known to exist that this data plane has not adopted yet.
	Behind() bool
	// Current reports whether the configuration was confirmed recently enough to reject unknown routes and keys for good.
	Current(now time.Time) bool
	// KeysValid reports whether the API keys were confirmed recently enough that no revoked key is accepted for longer than the
	// settings allow.
	KeysValid(now time.Time) bool
}

// credential holds the hash of the API key that a request carries. The key itself is not kept.
type credential struct {
	hash    configuration.KeyHash
	present bool
}

// credentialFrom returns the credential of a request. A request with several keys counts as one without.
func credentialFrom(header http.Header) credential {
	keys := header.Values(replica.HeaderAPIKey)
	if len(keys) != 1 || keys[0] == "" {
		return credential{}
	}
	return credential{hash: configuration.HashKey(keys[0]), present: true}
}

// authorization is the route and the tenant that one version of the configuration assigns to a request.
type authorization struct {
	table      *configuration.Table
	route      *configuration.Route
	credential credential
	tenant     configuration.TenantNumber
}

// resolveAccess looks up the route and the tenant of a request in a table.
func resolveAccess(table *configuration.Table, host, uri string, presented credential) (authorization, *apierror.Error) {
	route, found := table.FindRoute(host, pathOf(uri))
	if !found {
		return authorization{}, apierror.New(apierror.UnknownRoute, "")
	}
	tenant, rejection := findTenant(table, route.Public, presented)
	return authorization{table: table, route: route, credential: presented, tenant: tenant}, rejection
}

// findTenant returns the tenant of the key. Public routes need no key, but a request with a known one belongs to its tenant.
func findTenant(table *configuration.Table, public bool, presented credential) (configuration.TenantNumber, *apierror.Error) {
	if !table.RequiresKeys() {
		return configuration.NoTenant, nil
	}
	tenant := configuration.NoTenant
	if presented.present {
		tenant = table.FindTenant(presented.hash)
	}
	if tenant == configuration.NoTenant && !public {
		return tenant, apierror.New(apierror.InvalidAPIKey, "")
	}
	return tenant, nil
}

// authorize looks up the route and the tenant of the request. While a newer configuration that may allow the request is known
// to exist, the request waits for it (unreadWait). It is rejected for good only if the configuration is up to date; otherwise the
// client is asked to retry.
func (h *Handler) authorize(request *http.Request, arrived time.Time) (*routing.Snapshot, authorization, error) {
	presented := credentialFrom(request.Header)
	for {
		keysValid := h.keysValid()
		snapshot := h.snapshot.Load()
		allowed, rejection := resolveAccess(snapshot.Table, request.Host, request.RequestURI, presented)
		if rejection == nil && allowed.tenant != configuration.NoTenant && !keysValid {
			return nil, authorization{}, apierror.NewRetryAtOnce(apierror.StaleAPIKeys)
		}
		if rejection == nil {
			return snapshot, allowed, nil
		}
		if !h.behind() || h.clock().Sub(arrived) > unreadWait(request.Header) || !awaitPollInterval(request.Context()) {
			return nil, authorization{}, h.confirmRejection(rejection)
		}
	}
}

// confirmRejection returns the rejection if the configuration is up to date, otherwise an error that asks the client to retry.
func (h *Handler) confirmRejection(rejection *apierror.Error) *apierror.Error {
	if h.Freshness == nil || !h.behind() && h.Freshness.Current(h.clock()) {
		return rejection
	}
	return apierror.NewRetryAtOnce(apierror.StaleConfiguration)
}

// behind reports whether a newer configuration is known to exist.
func (h *Handler) behind() bool { return h.Freshness != nil && h.Freshness.Behind() }

// keysValid reports whether the API keys were confirmed recently enough. It must be called before the table is loaded: a
// configuration that is adopted in between then only makes the decision stricter.
func (h *Handler) keysValid() bool { return h.Freshness == nil || h.Freshness.KeysValid(h.clock()) }

// reauthorize checks the API key again before the request is sent to a replica, since it may have been revoked while the request
// was queued. A response whose header was sent is not interrupted.
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
		return apierror.NewRetryAtOnce(apierror.StaleAPIKeys)
	}
	return nil
}

// pathOf returns the path of a request target.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// assignTenant assigns the request to a tenant of a newer table. Its priority stays as it was set on arrival.
func (p *parsedRequest) assignTenant(table *configuration.Table, tenant configuration.TenantNumber) {
	p.authorization.table, p.authorization.tenant = table, tenant
	p.request.Tenant = tenant
	p.request.AllowedRegions = table.Tenant(tenant).IntersectRegions(p.route.AllowedRegions)
	p.upstream.Tenant = table.Tenant(tenant).NameOrEmpty()
}
