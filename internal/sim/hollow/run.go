// Package hollow runs the nodes' own code for many nodes on one machine, over loopback, and
// measures what each costs: processor, memory, messages, bytes, connections and disk. Replicas, the
// platform list, clients and the operator are stand-ins of this package; the nodes run in child
// processes, so that their costs can be told apart.
//
// It never touches a running fleet, leaves loopback, or leaves a process or folder behind, and it
// ends a run that needs more memory than allowed. Its figures are of this machine, where many
// nodes share the processors.
//
// Start reading at Run, then Fleet; a child process begins at ServeChild.
package hollow

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options are how a fleet is measured. Window is the length of a measured phase and SettleTime the wait
// before it; FillTimeout bounds the wait for placement, which is calm after StableAfter without an instruction.
type Options struct {
	Window         time.Duration
	SettleTime     time.Duration
	FillTimeout    time.Duration
	StableAfter    time.Duration
	ChangeInterval time.Duration
	// MemoryMb is the memory above which the run is ended.
	MemoryMb float64
	// Failures are the names of the failures to cause afterwards, each FailureLength long.
	Failures      []string
	FailureLength time.Duration
	Progress      io.Writer
}

const (
	// phaseStart and those below name the phases in the sequence in which they are measured.
	phaseStart   = "start"
	phaseFill    = "fill"
	phaseQuiet   = "quiet"
	phaseTraffic = "traffic"
	phaseChanges = "changes"
)

// Run starts a fleet of the plan, measures its phases and failures, and ends it. Ending the context
// ends the run with its error.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	began := time.Now()
	fleet, err := StartFleet(plan, options.MemoryMb, options.Progress)
	if err != nil {
		return result, err
	}
	defer func() {
		if ended := fleet.End(); err == nil {
			err = ended
		}
	}()
	result.Plan = fleet.plan
	result.Processes = len(fleet.processes()) + 1
	fleet.progressf(
		"%d data planes, %d control planes, %d replicas, %d models, %d adapters, %d routes in %d processes",
		plan.DataPlanes, plan.Members, plan.Replicas, plan.Models, plan.Adapters, plan.Routes, result.Processes,
	)
	from, err := fleet.observe()
	if err != nil {
		return result, err
	}
	ready, err := fleet.Start(ctx)
	if err != nil {
		return result, err
	}
	result.Ready = ready.Quantiles()
	to, err := fleet.observe()
	if err != nil {
		return result, err
	}
	result.Phases = append(result.Phases, fleet.measure(phaseStart, from, to))
	fleet.progressf("all data planes ready within %.0f ms", result.Ready.MaxMs)
	if err := fleet.runPhases(ctx, options, &result); err != nil {
		return result, err
	}
	result.MemoryMb = fleet.highestMb
	result.DurationS = time.Since(began).Seconds()
	return result, ctx.Err()
}

// window measures a phase: it waits, observes, lets during run (or just lets the window pass), and
// observes again.
func (f *Fleet) window(name string, settles, window time.Duration, during func() error) (Phase, error) {
	sleep(settles)
	from, err := f.observe()
	if err != nil {
		return Phase{}, err
	}
	if during == nil {
		during = func() error { sleep(window); return nil }
	}
	if err := during(); err != nil {
		return Phase{}, err
	}
	to, err := f.observe()
	if err != nil {
		return Phase{}, err
	}
	phase := f.measure(name, from, to)
	f.progressf(
		"%s: %.1f s, %d control messages, %.1f MB, %d placement orders",
		name, phase.Seconds, phase.Messages, float64(phase.Bytes)/megabyte, phase.Instructions,
	)
	return phase, nil
}

// runPhases measures placement, quiet, traffic and changes, and then the failures under traffic.
func (f *Fleet) runPhases(ctx context.Context, options Options, result *Result) error {
	filling, err := f.window(phaseFill, 0, 0, func() error { return f.awaitPlacement(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, filling)
	quiet, err := f.window(phaseQuiet, options.SettleTime, options.Window, nil)
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, quiet)
	traffic, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		f.clients.Wait()
	}()
	f.clients.Run(traffic)
	busy, err := f.window(phaseTraffic, options.SettleTime+f.plan.StreamLength, options.Window, nil)
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, busy)
	changing, err := f.window(phaseChanges, 0, options.Window, func() error { return f.changeRepeatedly(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, changing)
	f.readCounts(result)
	for _, name := range options.Failures {
		failure, err := f.measureFailure(ctx, name, options)
		if err != nil {
			return errors.Wrap(err, name)
		}
		result.Failures = append(result.Failures, failure)
	}
	return nil
}

const (
	// holderTimeout is how long a placement holder may take to appear.
	holderTimeout = 30 * time.Second
	// fillPollInterval is how often the instructions are counted while placement goes on.
	fillPollInterval = 50 * time.Millisecond
	// holderPollInterval is how often a holder is looked for.
	holderPollInterval = 200 * time.Millisecond
)

// awaitPlacement waits until no instruction came for the calm time, or the fill time is over.
func (f *Fleet) awaitPlacement(ctx context.Context, options Options) error {
	if err := f.awaitFirstHolder(ctx); err != nil {
		return err
	}
	end := time.Now().Add(options.FillTimeout)
	placed := f.standIns.instructions.Load()
	last := time.Now()
	for time.Now().Before(end) && time.Since(last) < options.StableAfter && ctx.Err() == nil {
		sleep(fillPollInterval)
		if now := f.standIns.instructions.Load(); now != placed {
			placed, last = now, time.Now()
		}
	}
	return nil
}

// awaitFirstHolder waits until a control plane acts as the placement holder.
func (f *Fleet) awaitFirstHolder(ctx context.Context) error {
	from, err := f.observe()
	for end := time.Now().Add(holderTimeout); err == nil && time.Now().Before(end) && ctx.Err() == nil; sleep(holderPollInterval) {
		var now observation
		if now, err = f.observe(); err == nil && f.holder(from, now) != "" {
			return nil
		}
	}
	if err == nil {
		err = errors.Errorf("no control plane holds the placement within %s", holderTimeout)
	}
	return err
}

// changeRepeatedly changes the configuration again and again for a window, asking the members in
// turn.
func (f *Fleet) changeRepeatedly(ctx context.Context, options Options) error {
	end := time.Now().Add(options.Window)
	everyone := f.dataIndices(anyHost)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
		next := time.Now().Add(options.ChangeInterval)
		if err := f.operator.ApplyChange(ctx, everyone, f.plan.everyMember(turn)); err != nil {
			return err
		}
		sleep(time.Until(next))
	}
	return nil
}
