package drill

import (
	"slices"
	"sort"

	"ferryspar/internal/apierror"
)

// Scope is the region or zone whose loss is rehearsed.
type Scope struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
}

// Covers reports whether a zone, which is in the given region, belongs to the scope.
func (s Scope) Covers(zone, region string) bool {
	if s.Zone != "" {
		return zone == s.Zone
	}
	return s.Region != "" && region == s.Region
}

// String returns the scope as "zone NAME" or "region NAME".
func (s Scope) String() string {
	if s.Zone != "" {
		return "zone " + s.Zone
	}
	return "region " + s.Region
}

// Validate returns an error unless the scope names exactly one zone or region of zones, which maps
// each zone to its region.
func (s Scope) Validate(zones map[string]string) error {
	if (s.Region == "") == (s.Zone == "") {
		return apierror.New(apierror.InvalidDrill, "name either a region or a zone")
	}
	if len(s.Zones(zones)) > 0 {
		return nil
	}
	if s.Zone != "" {
		return apierror.New(apierror.UnknownZone, "%s", s.Zone)
	}
	return apierror.New(apierror.UnknownRegion, "%s", s.Region)
}

// Zones returns the sorted zones of the scope.
func (s Scope) Zones(zones map[string]string) []string {
	var covered []string
	for zone, region := range zones {
		if s.Covers(zone, region) {
			covered = append(covered, zone)
		}
	}
	sort.Strings(covered)
	return covered
}

// Loss is a lost scope together with the region of each zone.
type Loss struct {
	Scope
	Regions map[string]string
}

// LosesAllRegions reports whether all zones of the regions to which a request is restricted are lost. It returns
// false for a request without such a restriction.
func (l Loss) LosesAllRegions(regions []string) bool {
	if len(regions) == 0 {
		return false
	}
	for zone, region := range l.Regions {
		if slices.Contains(regions, region) && !l.Covers(zone, region) {
			return false
		}
	}
	return true
}
