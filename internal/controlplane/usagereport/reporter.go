// Package usagereport reports to the platform, once for each window of wall-clock time, how many requests of each tenant
// started.
//
// A window is closed some time after its end, when the data planes have reported their counts. Its counts are stored on a
// majority of disks before they are sent and never change afterwards, so that the next lease holder reports the same counts.
// Start reading at Reporter.
package usagereport

import (
	"context"
	"encoding/json"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/singleton"
	"ferryspar/internal/discovery"
	"ferryspar/internal/keystore"
	"ferryspar/internal/usage"
)

const (
	// closeShare is the fraction of the reporting delay after which a window is closed. The rest is left for failed calls and
	// for a change of the lease holder.
	closeShare = 0.4
	// maxWindowsPerWrite is the maximum number of windows that are closed in one write after a time without a lease holder.
	maxWindowsPerWrite = 32
)

// Store is the part of keystore.Store that a Reporter needs.
type Store interface {
	Read(ctx context.Context, name string) (keystore.Register, error)
	Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error)
}

// Config holds the settings and dependencies of a Reporter.
type Config struct {
	Store  Store
	Ledger *usage.Ledger
	// Windows defines the reporting windows; Delay is how long after the end of a window its report is due.
	Windows usage.Windows
	Delay   time.Duration
	// TimeOfDay returns the time of day agreed between the control planes at the given reading of the monotonic clock, or
	// false if it is not known.
	TimeOfDay func(now time.Time) (time.Time, bool)
}

// Reporter is the singleton.Role that sends usage reports. Except for Status it is used only by the runner's goroutine.
type Reporter struct {
	config Config
	// record is the stored record as last read or written under the current grant; it is valid only while isRead is true.
	record usage.ReportState
	isRead bool
	// accepted holds the pending windows whose reports need not be sent again, because the platform has accepted or rejected
	// them.
	accepted map[uint64]bool
	// status is the result of Status.
	status atomic.Pointer[Status]
	// sentWindow is the window of the call that Next returned last.
	sentWindow uint64
}

// Status is the progress of usage reporting.
type Status struct {
	// ClosedUpTo is the newest window whose counts are final, 0 while unknown.
	ClosedUpTo uint64
	// Pending is the number of reports that the platform has neither accepted nor rejected.
	Pending int
}

// Status returns the most recent status. Any goroutine may call it.
func (r *Reporter) Status() Status {
	if status := r.status.Load(); status != nil {
		return *status
	}
	return Status{}
}

func (r *Reporter) publishStatus() {
	r.status.Store(&Status{ClosedUpTo: r.record.ClosedUpTo, Pending: len(r.record.Pending) - len(r.accepted)})
}

// New returns a reporter that has not read the stored record yet.
func New(config Config) *Reporter {
	return &Reporter{config: config, accepted: map[uint64]bool{}}
}

// Name implements singleton.Role.
func (*Reporter) Name() string { return "usage" }

// Reset implements singleton.Role.
func (r *Reporter) Reset() { r.isRead = false }

// Prepare implements singleton.Role by closing the windows that are due.
func (r *Reporter) Prepare(ctx context.Context, now time.Time) {
	timeOfDay, known := r.config.TimeOfDay(now)
	if !known || !r.isRead && !r.read(ctx, timeOfDay) {
		return
	}
	reports := r.due(timeOfDay)
	if len(reports) == 0 {
		return
	}
	register, err := r.config.Store.Change(ctx, keystore.UsageKey, func(current keystore.Register) (json.RawMessage, error) {
		stored, err := usage.DecodeReportState(current.Value)
		if err != nil {
			return nil, err
		}
		return json.Marshal(stored.Close(reports, r.isAccepted))
	})
	if err != nil {
		logrus.WithError(err).Info("usage of a window not stored")
		r.isRead = false
		return
	}
	r.adopt(register)
}

// read reads the stored record. Without a record, the windows whose reports are not overdue are still reported, since an
// earlier holder may have stopped before it closed one.
func (r *Reporter) read(ctx context.Context, timeOfDay time.Time) bool {
	register, err := r.config.Store.Read(ctx, keystore.UsageKey)
	if err != nil {
		return false
	}
	r.adopt(register)
	if r.isRead && r.record.ClosedUpTo == 0 {
		r.record.ClosedUpTo = r.config.Windows.At(timeOfDay.Add(-r.config.Delay)) - 1
	}
	return r.isRead
}

func (r *Reporter) adopt(register keystore.Register) {
	record, err := usage.DecodeReportState(register.Value)
	if err != nil {
		logrus.WithError(err).Error("stored usage cannot be read")
		r.isRead = false
		return
	}
	r.record, r.isRead = record, true
	pending := map[uint64]bool{}
	for _, report := range record.Pending {
		pending[report.Window] = true
	}
	maps.DeleteFunc(r.accepted, func(window uint64, _ bool) bool { return !pending[window] })
	r.config.Ledger.DropBefore(record.ClosedUpTo + 1)
	r.publishStatus()
}

// due returns the reports of the windows that are to be closed.
func (r *Reporter) due(timeOfDay time.Time) []usage.Report {
	wait := time.Duration(closeShare * float64(r.config.Delay))
	newest := r.config.Windows.At(timeOfDay.Add(-wait)) - 1
	if newest <= r.record.ClosedUpTo {
		return nil
	}
	var reports []usage.Report
	for window := max(r.record.ClosedUpTo+1, newest-min(maxWindowsPerWrite-1, newest)); window <= newest; window++ {
		reports = append(reports, usage.Report{Window: window, Counts: r.config.Ledger.Totals(window)})
	}
	return reports
}

func (r *Reporter) isAccepted(window uint64) bool { return r.accepted[window] }

// Next implements singleton.Role by returning the oldest report that the platform has neither accepted nor rejected.
func (r *Reporter) Next(time.Time) (singleton.Call, bool) {
	if !r.isRead {
		return singleton.Call{}, false
	}
	for _, report := range r.record.Pending {
		if !r.accepted[report.Window] {
			r.sentWindow = report.Window
			return singleton.Call{Path: discovery.PathUsage, Body: report.Body()}, true
		}
	}
	return singleton.Call{}, false
}

// HandleOutcome implements singleton.Role. A report that the platform rejects is not sent again.
func (r *Reporter) HandleOutcome(outcome singleton.Outcome, _ time.Time) {
	if outcome == singleton.OutcomeAccepted || outcome == singleton.OutcomeRejected {
		r.accepted[r.sentWindow] = true
		r.publishStatus()
	}
}
