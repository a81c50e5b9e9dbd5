package applications

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordinationclient"
)

// Report holds the measurements of a run.
type Report struct {
	// CallsPerS is the rate of answered calls.
	CallsPerS  float64         `json:"perSecond"`
	Operations []OperationStat `json:"operations"`
	// Violations describes the violated guarantees of the API.
	Violations []string `json:"faults"`
}

// OperationStat holds the measurements of one operation.
type OperationStat struct {
	Name string `json:"name"`
	// Answered counts definite responses, Refused those among them that reject the call: a lock held by another caller, a
	// lock lost, or a key changed concurrently. Failed counts calls without a definite response in time.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// MedianMs, P99Ms and MaxMs are the median, the 99th percentile and the maximum of the latency of answered calls, in ms.
	MedianMs float64 `json:"halfMs"`
	P99Ms    float64 `json:"mostMs"`
	MaxMs    float64 `json:"maxMs"`
	// LastError is the error of the last failed call.
	LastError string `json:"lastError,omitempty"`
}

// results collects the outcomes and latencies of the calls.
type results struct {
	lock      sync.Mutex
	stats     map[string]*OperationStat
	durations map[string][]time.Duration
}

func newResults() *results {
	return &results{stats: map[string]*OperationStat{}, durations: map[string][]time.Duration{}}
}

// stat returns the measurements of an operation and creates them on first use. The caller must hold r.lock.
func (r *results) stat(name string) *OperationStat {
	if r.stats[name] == nil {
		r.stats[name] = &OperationStat{Name: name}
	}
	return r.stats[name]
}

func (r *results) fail(name string, err error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	stat := r.stat(name)
	stat.Failed++
	stat.LastError = err.Error()
}

// measure makes a call and records its outcome and latency.
func (r *results) measure(name string, call func() error) error {
	startedAt := time.Now()
	err := call()
	took := time.Since(startedAt)
	var conflict coordinationclient.ConflictError
	isRefused := errors.Is(err, coordinationclient.ErrLockHeld) ||
		errors.Is(err, coordinationclient.ErrLockLost) || errors.As(err, &conflict)
	if err != nil && !isRefused {
		r.fail(name, err)
		return err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	stat := r.stat(name)
	stat.Answered++
	if isRefused {
		stat.Refused++
	}
	r.durations[name] = append(r.durations[name], took)
	return err
}

func (r *results) report(options Options, checked *checks) Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	checked.lock.Lock()
	defer checked.lock.Unlock()
	report := Report{Violations: append([]string{}, checked.violations...)}
	answered := 0
	for name, stat := range r.stats {
		durations := r.durations[name]
		slices.Sort(durations)
		stat.MedianMs, stat.P99Ms, stat.MaxMs = quantileMs(durations, 0.5), quantileMs(durations, 0.99), quantileMs(durations, 1)
		report.Operations = append(report.Operations, *stat)
		answered += stat.Answered
	}
	slices.SortFunc(report.Operations, func(left, right OperationStat) int {
		return int(right.Answered) - int(left.Answered)
	})
	report.CallsPerS = float64(answered) / options.Duration.Seconds()
	return report
}

func quantileMs(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(share*float64(len(sorted)-1))].Microseconds()) / 1000
}

// Print writes the report as a table.
func (r Report) Print(target io.Writer) error {
	fmt.Fprintf(target, "%.1f calls a second\n", r.CallsPerS)
	writer := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "operation\tanswered\trefused\tfailed\thalf ms\t99% ms\tmax ms\tlast error")
	for _, stat := range r.Operations {
		fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\n",
			stat.Name, stat.Answered, stat.Refused, stat.Failed, stat.MedianMs, stat.P99Ms, stat.MaxMs, stat.LastError)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(target, "BROKEN:", violation)
	}
	return nil
}
