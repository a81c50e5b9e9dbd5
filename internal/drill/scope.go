package drill

import (
	"slices"
	"sort"

	"ferryspar/internal/problem"
)

type Scope struct {
	Region string `json:"region,omitempty"`
	Area   string `json:"zone,omitempty"`
}

func (s Scope) Covers(area, region string) bool {
	if s.Area != "" {
		return area == s.Area
	}
	return s.Region != "" && region == s.Region
}

func (s Scope) String() string {
	if s.Area != "" {
		return "zone " + s.Area
	}
	return "region " + s.Region
}

func (s Scope) Check(areas map[string]string) error {
	if (s.Region == "") == (s.Area == "") {
		return problem.New(problem.InvalidRehearsal, "name either a region or a zone")
	}
	if len(s.Areas(areas)) > 0 {
		return nil
	}
	if s.Area != "" {
		return problem.New(problem.UnknownArea, "%s", s.Area)
	}
	return problem.New(problem.UnknownRegion, "%s", s.Region)
}

func (s Scope) Areas(areas map[string]string) []string {
	var covered []string
	for area, region := range areas {
		if s.Covers(area, region) {
			covered = append(covered, area)
		}
	}
	sort.Strings(covered)
	return covered
}

type Loss struct {
	Scope
	Regions map[string]string
}

func (l Loss) Homeless(homes []string) bool {
	if len(homes) == 0 {
		return false
	}
	for area, region := range l.Regions {
		if slices.Contains(homes, region) && !l.Covers(area, region) {
			return false
		}
	}
	return true
}
