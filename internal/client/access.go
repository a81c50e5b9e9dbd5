package client

import (
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/match"
	"ferryspar/internal/replica"
)

// Currency tells how sure the data plane is that the configuration it holds is the newest. Any goroutine may call it.
type Currency interface {
	// Behind tells whether a newer configuration is known of that has not been adopted yet.
	Behind() bool
	// Current tells whether nothing newer can have been in force for long, so that what is unknown here may be refused.
	Current(now time.Time) bool
	// KeysHold tells whether no key can have been taken away longer ago than the settings allow it to be served.
	KeysHold(now time.Time) bool
}

// credential is the key that a request carries. Only its hash is kept.
type credential struct {
	hash   configuration.KeyHash
	stated bool
}

// credentialOf reads the key of a request. Several keys count as none.
func credentialOf(header http.Header) credential {
	keys := header.Values(replica.HeaderKey)
	if len(keys) != 1 || keys[0] == "" {
		return credential{}
	}
	return credential{configuration.HashKey(keys[0]), true}
}

// access is what one version of the configuration allows a request: its route and the tenant whose it is.
type access struct {
	table      *configuration.Table
	route      *configuration.Route
	credential credential
	tenant     configuration.TenantNumber
}

// lookUp finds the route and the tenant of a request in a table.
func lookUp(table *configuration.Table, host, uri string, stated credential) (access, *apierror.Error) {
	path, _, _ := strings.Cut(uri, "?")
	route, found := table.FindRoute(host, path)
	if !found {
		return access{}, apierror.New(apierror.UnknownRoute, "")
	}
	tenant, refusal := findTenant(table, route.Public, stated)
	return access{table: table, route: route, credential: stated, tenant: tenant}, refusal
}

// findTenant finds whose the key is. Public routes need none, but belong to its tenant where one is known.
func findTenant(table *configuration.Table, public bool, stated credential) (configuration.TenantNumber, *apierror.Error) {
	if !table.RequiresKeys() {
		return configuration.NoTenant, nil
	}
	tenant := configuration.NoTenant
	if stated.stated {
		tenant = table.FindTenant(stated.hash)
	}
	if tenant == configuration.NoTenant && !public {
		return tenant, apierror.New(apierror.UnknownKey, "")
	}
	return tenant, nil
}

const (
	// newsPatience is how long a request waits for a newer configuration that is known of and may allow it.
	newsPatience = 400 * time.Millisecond
	// datedRetry is when a request may try again that a newer configuration may allow.
	datedRetry = 200 * time.Millisecond
)

// admit finds what the configuration allows the request. It is refused for good only where the configuration is known
// to be new: what a newer one may allow waits for it briefly, and is then asked to come again.
func (d *Handler) admit(request *http.Request, arrived time.Time) (*match.Snapshot, access, error) {
	stated := credentialOf(request.Header)
	for {
		keysHold := d.keysHold()
		fleet := d.fleet.Load()
		found, refusal := lookUp(fleet.Table, request.Host, request.RequestURI, stated)
		if refusal == nil && found.tenant != configuration.NoTenant && !keysHold {
			return nil, access{}, apierror.NewRetryable(apierror.OutdatedKeys, datedRetry)
		}
		if refusal == nil {
			return fleet, found, nil
		}
		if !d.behind() || d.clock().Sub(arrived) > newsPatience || !pause(request.Context()) {
			return nil, access{}, d.certain(refusal)
		}
	}
}

// certain returns the refusal where the configuration is known to be new, else the request to come again.
func (d *Handler) certain(refusal *apierror.Error) *apierror.Error {
	if d.Currency == nil || !d.behind() && d.Currency.Current(d.clock()) {
		return refusal
	}
	return apierror.NewRetryable(apierror.OutdatedConfiguration, datedRetry)
}

func (d *Handler) behind() bool { return d.Currency != nil && d.Currency.Behind() }

// keysHold must be asked before the table is read: news that comes in between then only makes it stricter.
func (d *Handler) keysHold() bool { return d.Currency == nil || d.Currency.KeysHold(d.clock()) }

// readmit checks the key again before the request is sent to a replica: it may have been taken away while the request
// waited. An answer that has begun goes on.
func (s *service) readmit() *apierror.Error {
	if s.headed {
		return nil
	}
	keysHold := s.handler.keysHold()
	table := s.handler.fleet.Load().Table
	taken := s.parsedRequest
	if table != taken.access.table {
		public := taken.route.Public
		if route, found := table.FindRoute(taken.job.Host, taken.path()); found {
			public = public || route.Public
		}
		tenant, refusal := findTenant(table, public, taken.access.credential)
		if refusal != nil {
			return s.handler.certain(refusal)
		}
		taken.belongTo(table, tenant)
	}
	if taken.access.tenant != configuration.NoTenant && !keysHold {
		return apierror.NewRetryable(apierror.OutdatedKeys, datedRetry)
	}
	return nil
}

func (p *parsedRequest) path() string {
	path, _, _ := strings.Cut(p.job.URI, "?")
	return path
}

// belongTo makes the request the tenant's of a newer table. Its priority stays that of its arrival.
func (p *parsedRequest) belongTo(table *configuration.Table, tenant configuration.TenantNumber) {
	p.access.table, p.access.tenant = table, tenant
	p.request.Tenant = tenant
	p.request.AllowedRegions = table.Tenant(tenant).IntersectRegions(p.route.AllowedRegions)
	p.job.Tenant = table.Tenant(tenant).NameOrEmpty()
}
