// Package usagereport tells the platform, once for each window of wall time, how many requests of each tenant began to run.
//
// A window is closed some time after its end, when the data planes have told their counts. Its counts are stored on a majority of
// disks before they are sent, and never change after that, so that whoever holds the lease next says the same. Start reading at
// Reporter.
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
	// closeShare is the part of the time in which a report is due after which its window is closed: the rest is for calls that fail
	// and for a change of the lease's holder.
	closeShare = 0.4
	// maxClosedAtOnce is how many windows are closed in one write after a time without a holder.
	maxClosedAtOnce = 32
)

// Store is the part of keystore.Store that a Reporter needs.
type Store interface {
	Read(ctx context.Context, name string) (keystore.Register, error)
	Change(ctx context.Context, name string, decide keystore.Decide) (keystore.Register, error)
}

// Config is what a Reporter is made of.
type Config struct {
	Store  Store
	Ledger *usage.Ledger
	// Windows and Delay are the windows and how long after its end a report is due.
	Windows usage.Windows
	Delay   time.Duration
	// TimeOfDay is the time of day on which the control planes agree, at a reading of the steady clock, or false.
	TimeOfDay func(now time.Time) (time.Time, bool)
}

// Reporter is the singleton.Role of usage reports. Its state belongs to the runner's goroutine.
type Reporter struct {
	config Config
	// record is the stored record as far as it is known under the present grant; isRead says that it is.
	record usage.ReportState
	isRead bool
	// accepted are the windows among those pending whose report the platform has taken.
	accepted map[uint64]bool
	// status is what Status returns.
	status atomic.Pointer[Status]
	// sending is the window of the call that Next returned last.
	sending uint64
}

// Status is what a reporter knows of its reports.
type Status struct {
	// ClosedUpTo is the newest window whose counts are final, 0 while that is not known.
	ClosedUpTo uint64
	// Pending is how many reports the platform has not accepted.
	Pending int
}

// Status returns what was known last. Any goroutine may call it.
func (r *Reporter) Status() Status {
	if status := r.status.Load(); status != nil {
		return *status
	}
	return Status{}
}

func (r *Reporter) publishStatus() {
	r.status.Store(&Status{ClosedUpTo: r.record.ClosedUpTo, Pending: len(r.record.Pending) - len(r.accepted)})
}

// New returns a reporter.
func New(config Config) *Reporter {
	return &Reporter{config: config, accepted: map[uint64]bool{}}
}

// Name implements singleton.Role.
func (*Reporter) Name() string { return "usage" }

// Reset implements singleton.Role.
func (r *Reporter) Reset() { r.isRead = false }

// Prepare implements singleton.Role: it closes the windows that are due.
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

// read reads the stored record. Where there is none, windows count whose reports are not overdue: an earlier holder may have ended
// before it closed one.
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

// due are the reports of windows that are to be closed.
func (r *Reporter) due(timeOfDay time.Time) []usage.Report {
	wait := time.Duration(closeShare * float64(r.config.Delay))
	newest := r.config.Windows.At(timeOfDay.Add(-wait)) - 1
	if newest <= r.record.ClosedUpTo {
		return nil
	}
	var reports []usage.Report
	for window := max(r.record.ClosedUpTo+1, newest-min(maxClosedAtOnce-1, newest)); window <= newest; window++ {
		reports = append(reports, usage.Report{Window: window, Counts: r.config.Ledger.Totals(window)})
	}
	return reports
}

func (r *Reporter) isAccepted(window uint64) bool { return r.accepted[window] }

// Next implements singleton.Role: the oldest report that the platform has not taken.
func (r *Reporter) Next(time.Time) (singleton.Call, bool) {
	if !r.isRead {
		return singleton.Call{}, false
	}
	for _, report := range r.record.Pending {
		if !r.accepted[report.Window] {
			r.sending = report.Window
			return singleton.Call{Path: discovery.PathUsage, Body: report.Body()}, true
		}
	}
	return singleton.Call{}, false
}

// HandleOutcome implements singleton.Role. A report that the platform rejects as such is not sent again.
func (r *Reporter) HandleOutcome(outcome singleton.Outcome, _ time.Time) {
	if outcome == singleton.OutcomeAccepted || outcome == singleton.OutcomeRejected {
		r.accepted[r.sending] = true
		r.publishStatus()
	}
}
