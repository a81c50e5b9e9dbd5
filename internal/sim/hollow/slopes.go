package hollow

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// ScalingFit describes how a figure of a role grows with the number of data planes: as a power law with Exponent and its R²
// Fit, and as a straight line with Intercept, slope PerDataPlane and its R² LinearFit. AtTarget is the value of the line at
// the target size.
type ScalingFit struct {
	Phase        string    `json:"phase"`
	Role         string    `json:"role"`
	Figure       string    `json:"figure"`
	Sizes        []float64 `json:"sizes"`
	Values       []float64 `json:"values"`
	Exponent     float64   `json:"exponent"`
	Fit          float64   `json:"fit"`
	Intercept    float64   `json:"fixed"`
	PerDataPlane float64   `json:"perDataPlane"`
	LinearFit    float64   `json:"linearFit"`
	AtTarget     float64   `json:"atTarget"`
}

// FitPowerLaw fits value = factor × size^exponent by least squares of the logarithms; fit is the R². Values that are not
// positive are ignored. All results are 0 if there are fewer than two different sizes.
func FitPowerLaw(sizes, values []float64) (exponent, fit, factor float64) {
	var logSizes, logValues []float64
	for index := range sizes {
		if sizes[index] > 0 && values[index] > 0 {
			logSizes = append(logSizes, math.Log(sizes[index]))
			logValues = append(logValues, math.Log(values[index]))
		}
	}
	if len(logSizes) < 2 || floats.Max(logSizes) == floats.Min(logSizes) {
		return 0, 0, 0
	}
	start, slope := stat.LinearRegression(logSizes, logValues, nil, false)
	if fit = stat.RSquared(logSizes, logValues, nil, start, slope); math.IsNaN(fit) {
		fit = 1
	}
	return slope, fit, math.Exp(start)
}

// fitLine fits value = intercept + slope × size by least squares; fit is the R².
func fitLine(sizes, values []float64) (intercept, slope, fit float64) {
	if len(sizes) < 2 || floats.Max(sizes) == floats.Min(sizes) {
		return 0, 0, 0
	}
	intercept, slope = stat.LinearRegression(sizes, values, nil, false)
	if fit = stat.RSquared(sizes, values, nil, intercept, slope); math.IsNaN(fit) {
		fit = 1
	}
	return intercept, slope, fit
}

// figures lists the figures to fit, with their units.
var figures = []struct {
	name string
	read func(*RoleUsage) float64
}{
	{"processor %", func(r *RoleUsage) float64 { return r.CPUPercent }},
	{"in kB/s", func(r *RoleUsage) float64 { return r.InKbPerS }},
	{"out kB/s", func(r *RoleUsage) float64 { return r.OutKbPerS }},
	{"messages in/s", func(r *RoleUsage) float64 { return r.MessagesIn }},
	{"messages out/s", func(r *RoleUsage) float64 { return r.MessagesOut }},
	{"heap MB", func(r *RoleUsage) float64 { return r.HeapMb }},
	{"held MB", func(r *RoleUsage) float64 { return r.RuntimeMb }},
	{"peak MB", func(r *RoleUsage) float64 { return r.PeakMb }},
	{"goroutines", func(r *RoleUsage) float64 { return r.Goroutines }},
	{"descriptors", func(r *RoleUsage) float64 { return r.Descriptors }},
	{"connections in", func(r *RoleUsage) float64 { return r.InboundConnections }},
	{"connections out", func(r *RoleUsage) float64 { return r.OutboundConnections }},
	{"dialed/s", func(r *RoleUsage) float64 { return r.DialedPerS }},
	{"disk syncs/s", func(r *RoleUsage) float64 { return r.DiskSyncsPerS }},
	{"disk kB/s", func(r *RoleUsage) float64 { return r.DiskKbPerS }},
}

// fit reads the figure from the phase at the given position of each result that has the role, and fits both curves to the
// values.
func (s *ScalingFit) fit(results []Result, position int, read func(*RoleUsage) float64, target int) {
	for _, result := range results {
		if len(result.Phases) <= position || result.Phases[position].Roles[s.Role] == nil {
			continue
		}
		s.Sizes = append(s.Sizes, float64(result.Plan.DataPlanes))
		s.Values = append(s.Values, read(result.Phases[position].Roles[s.Role]))
	}
	s.Exponent, s.Fit, _ = FitPowerLaw(s.Sizes, s.Values)
	s.Intercept, s.PerDataPlane, s.LinearFit = fitLine(s.Sizes, s.Values)
	s.AtTarget = s.Intercept + s.PerDataPlane*float64(target)
}

// Summarize fits every figure of every phase and role over the results. target is the size for AtTarget.
func Summarize(results []Result, target int) Report {
	report := Report{Results: results}
	if len(results) == 0 {
		return report
	}
	for position, phase := range results[0].Phases {
		for _, role := range []string{roleData, roleAlone, roleMember, roleHolder} {
			for _, figure := range figures {
				slope := ScalingFit{Phase: phase.Name, Role: role, Figure: figure.name}
				slope.fit(results, position, figure.read, target)
				if len(slope.Sizes) > 0 && floats.Max(slope.Values) > 0 {
					report.Fits = append(report.Fits, slope)
				}
			}
		}
	}
	return report
}
