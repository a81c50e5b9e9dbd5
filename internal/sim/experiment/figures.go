package experiment

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ferryspar/internal/sim/emulator"
)

// Estimate is the mean over the seeds, the standard deviation, and the half-width of the 95% confidence interval by Student's
// t-distribution.
type Estimate struct {
	Mean      float64 `json:"mean"`
	StdDev    float64 `json:"deviation"`
	HalfWidth float64 `json:"half95"`
}

// Figure is a figure of a variant, with one value per seed. Difference is the paired difference from the first variant.
type Figure struct {
	Name       string    `json:"name"`
	Values     []float64 `json:"values"`
	Estimate   Estimate  `json:"estimate"`
	Difference *Estimate `json:"differenceToFirst,omitempty"`
}

// confidence is the level of all confidence intervals.
const confidence = 0.95

// estimate returns the estimate from the values, of which there must be at least one.
func estimate(values []float64) Estimate {
	if len(values) < 2 {
		return Estimate{Mean: stat.Mean(values, nil)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	student := distuv.StudentsT{Sigma: 1, Nu: float64(len(values) - 1)}
	half := student.Quantile(0.5+confidence/2) * stat.StdErr(deviation, float64(len(values)))
	return Estimate{Mean: mean, StdDev: deviation, HalfWidth: half}
}

// newHistogram returns an empty histogram of durations in microseconds, up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// recordMs records durations given in milliseconds.
func recordMs(histogram *hdrhistogram.Histogram, milliseconds []float64) {
	for _, value := range milliseconds {
		_ = histogram.RecordValue(max(int64(math.Round(value*1000)), 1))
	}
}

// quantile returns a percentile in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// period is a named, half-open interval of the run, in seconds.
type period struct {
	name  string
	fromS float64
	toS   float64
}

// contains reports whether a time lies in the period.
func (p period) contains(atS float64) bool { return atS >= p.fromS && atS < p.toS }

// periods returns the periods into which the first loss of the first variant divides the run.
func (c Configuration) periods() []period {
	scenario := c.Scenarios[0]
	if len(scenario.Losses) == 0 {
		return []period{{"whole", scenario.WarmS, scenario.LengthS}}
	}
	loss := scenario.Losses[0].AtS
	inFlightFrom := max(loss-c.InFlightS, 0)
	return []period{
		{"before", scenario.WarmS, inFlightFrom}, {"caught", inFlightFrom, loss},
		{"loss", loss, loss + c.AfterS}, {"after", loss + c.AfterS, scenario.LengthS},
	}
}

// share returns part divided by total, or NaN if total is 0.
func share(part, total int) float64 {
	if total == 0 {
		return math.NaN()
	}
	return float64(part) / float64(total)
}

// measurement is a named value measured in one run.
type measurement struct {
	name  string
	value float64
}

// bucketSums accumulates buckets of requests.
type bucketSums struct {
	offered, inTime, rejected int
	firsts, pauses            *hdrhistogram.Histogram
}

func newBucketSums() *bucketSums {
	return &bucketSums{firsts: newHistogram(), pauses: newHistogram()}
}

func (s *bucketSums) add(bucket emulator.Bucket) {
	s.offered += bucket.Offered
	s.inTime += bucket.InTime
	s.rejected += bucket.Rejected
	recordMs(s.firsts, bucket.FirstTokenMs)
	recordMs(s.pauses, bucket.MaxTokenGapMs)
}

// measure returns all figures of a run, by class and period.
func measure(result emulator.Result, spans []period) []measurement {
	var found []measurement
	add := func(name string, value float64) {
		if !math.IsNaN(value) {
			found = append(found, measurement{name, value})
		}
	}
	for _, class := range result.Classes {
		for _, span := range spans {
			sums := newBucketSums()
			for _, bucket := range class.Buckets {
				if span.contains(bucket.AtS) {
					sums.add(bucket)
				}
			}
			at := class.Name + ", " + span.name + ": "
			add(at+"share in time", share(sums.inTime, sums.offered))
			add(at+"share refused", share(sums.rejected, sums.offered))
			if sums.firsts.TotalCount() == 0 {
				continue
			}
			add(at+"first token p50 ms", quantile(sums.firsts, 50))
			add(at+"first token p95 ms", quantile(sums.firsts, 95))
			add(at+"longest pause p95 ms", quantile(sums.pauses, 95))
		}
		add(class.Name+": not served", float64(class.Offered-class.Outcomes["served"]))
		add(class.Name+": served at a second try", float64(class.Resumed))
	}
	return append(found, fleetFigures(result)...)
}

// fleetFigures returns the figures of the whole fleet.
func fleetFigures(result emulator.Result) []measurement {
	waiting := 0
	warmLost := 0.0
	streams := 0
	withoutCopy := 0
	for _, sample := range result.Samples {
		waiting = max(waiting, sample.Waiting+sample.Queued)
	}
	for _, loss := range result.Losses {
		streams += loss.Running
		withoutCopy += len(loss.WithoutCopy)
		for _, amount := range loss.CachedTokens {
			warmLost += amount
		}
	}
	found := []measurement{
		{"longest queue", float64(waiting)},
		{"prompt tokens read", result.PrefillTokens},
		{"prompt tokens kept", result.CachedTokens},
	}
	if last := len(result.Samples) - 1; last >= 0 {
		found = append(found,
			measurement{"loads from the store", float64(result.Samples[last].StoreLoads)},
			measurement{"loads from own disk", float64(result.Samples[last].DiskLoads)},
		)
	}
	if len(result.Losses) > 0 {
		found = append(found,
			measurement{"streams running where lost", float64(streams)},
			measurement{"models and adapters without a copy", float64(withoutCopy)},
			measurement{"warm tokens lost", warmLost},
		)
	}
	return append(found, measurement{"faults (events missing or doubled, bounds crossed)", float64(len(result.Violations))})
}
