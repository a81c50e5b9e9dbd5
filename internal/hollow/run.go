package hollow

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type Options struct {
	Window     time.Duration
	Settle     time.Duration
	Fill       time.Duration
	Calm       time.Duration
	ChangeEach time.Duration
	MemoryMb   float64
	Troubles   []string
	Trouble    time.Duration
	Progress   io.Writer
}

type Orders struct {
	Asked   int64     `json:"asked"`
	Whole   int64     `json:"whole"`
	Refused int64     `json:"refused"`
	Cut     int64     `json:"cut"`
	First   Quantiles `json:"first"`
}

type Changes struct {
	Made         int       `json:"made"`
	Missed       int       `json:"missed"`
	Acknowledged Quantiles `json:"acknowledged"`
	InForce      Quantiles `json:"inForce"`
	Everywhere   Quantiles `json:"everywhere"`
}

type Placed struct {
	ListPages int64 `json:"listPages"`
	Orders    int64 `json:"orders"`
	Reports   int64 `json:"reports"`
}

type Result struct {
	Plan      Plan      `json:"plan"`
	Ready     Quantiles `json:"ready"`
	Phases    []Phase   `json:"phases"`
	Troubles  []Trouble `json:"troubles,omitempty"`
	Orders    Orders    `json:"orders"`
	Changes   Changes   `json:"changes"`
	Placed    Placed    `json:"placed"`
	MemoryMb  float64   `json:"memoryMb"`
	Processes int       `json:"processes"`
	TookS     float64   `json:"tookS"`
}

const (
	phaseStart   = "start"
	phaseFill    = "fill"
	phaseQuiet   = "quiet"
	phaseTraffic = "traffic"
	phaseChanges = "changes"
)

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
	result.Plan, result.Processes = fleet.plan, len(fleet.every())+1
	fleet.say("%d data planes, %d control planes, %d replicas, %d models, %d adapters, %d routes in %d processes", plan.Data, plan.Members, plan.Replicas, plan.Models, plan.Adapters, plan.Routes, result.Processes)
	from, err := fleet.look()
	if err != nil {
		return result, err
	}
	ready, err := fleet.Begin(ctx)
	if err != nil {
		return result, err
	}
	result.Ready = ready.Read()
	to, err := fleet.look()
	if err != nil {
		return result, err
	}
	result.Phases = append(result.Phases, fleet.measure(phaseStart, from, to))
	fleet.say("all data planes ready within %.0f ms", result.Ready.MaxMs)
	if err := fleet.steady(ctx, options, &result); err != nil {
		return result, err
	}
	result.MemoryMb, result.TookS = fleet.highestMb, time.Since(began).Seconds()
	return result, ctx.Err()
}

func (f *Fleet) window(name string, settles, window time.Duration, during func() error) (Phase, error) {
	settle(settles)
	from, err := f.look()
	if err != nil {
		return Phase{}, err
	}
	if during == nil {
		during = func() error { settle(window); return nil }
	}
	if err := during(); err != nil {
		return Phase{}, err
	}
	to, err := f.look()
	if err != nil {
		return Phase{}, err
	}
	phase := f.measure(name, from, to)
	f.say("%s: %.1f s, %d control messages, %.1f MB, %d placement orders", name, phase.Seconds, phase.Messages, float64(phase.Bytes)/megabyte, phase.Placed)
	return phase, nil
}

func (f *Fleet) steady(ctx context.Context, options Options, result *Result) error {
	filling, err := f.window(phaseFill, 0, 0, func() error { return f.fill(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, filling)
	quiet, err := f.window(phaseQuiet, options.Settle, options.Window, nil)
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
	busy, err := f.window(phaseTraffic, options.Settle+f.plan.Hold, options.Window, nil)
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, busy)
	changing, err := f.window(phaseChanges, 0, options.Window, func() error { return f.change(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, changing)
	result.Changes = Changes{f.operator.changes, f.operator.missed, f.operator.acked.Read(), f.operator.inForce.Read(), f.operator.whole.Read()}
	result.Orders = Orders{f.clients.asked.Load(), f.clients.whole.Load(), f.clients.refused.Load(), f.clients.cut.Load(), f.clients.first.Read()}
	result.Placed = Placed{f.world.pages.Load(), f.world.orders.Load(), f.world.reports.Load()}
	for _, name := range options.Troubles {
		trouble, err := f.suffer(ctx, name, options)
		if err != nil {
			return errors.Wrap(err, name)
		}
		result.Troubles = append(result.Troubles, trouble)
	}
	return nil
}

const (
	holderBound = 30 * time.Second
	fillLook    = 50 * time.Millisecond
	holderLook  = 200 * time.Millisecond
)

func (f *Fleet) fill(ctx context.Context, options Options) error {
	if err := f.awaitFirstHolder(ctx); err != nil {
		return err
	}
	end, placed, last := time.Now().Add(options.Fill), f.world.orders.Load(), time.Now()
	for time.Now().Before(end) && time.Since(last) < options.Calm && ctx.Err() == nil {
		settle(fillLook)
		if now := f.world.orders.Load(); now != placed {
			placed, last = now, time.Now()
		}
	}
	return nil
}

func (f *Fleet) awaitFirstHolder(ctx context.Context) error {
	from, err := f.look()
	for end := time.Now().Add(holderBound); err == nil && time.Now().Before(end) && ctx.Err() == nil; settle(holderLook) {
		var now sight
		if now, err = f.look(); err == nil && f.holder(from, now) != "" {
			return nil
		}
	}
	if err == nil {
		err = errors.Errorf("no control plane holds the placement within %s", holderBound)
	}
	return err
}

func (f *Fleet) change(ctx context.Context, options Options) error {
	end := time.Now().Add(options.Window)
	everyone := f.dataIndices(anyHost)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
		next := time.Now().Add(options.ChangeEach)
		if err := f.operator.Change(ctx, everyone, f.plan.everyMember(turn)); err != nil {
			return err
		}
		settle(time.Until(next))
	}
	return nil
}
