package main

import (
	"crypto/rand"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/drill"
)

// Values of the column side in the table of a drill: the drilled requests, which avoid the scope, and all others.
const (
	sideDrilled = "drilled"
	sideRest    = "rest"
)

func (r *rehearseCommand) startDrill(scope drill.Scope) error {
	if r.Share <= 0 || r.Duration <= 0 || r.Margin <= 0 {
		return cli.NewUsageError(errors.New("--share, --for and --margin must be above 0"))
	}
	content, err := r.app.postRehearsal(drill.Request{
		Kind:           drill.KindDrill,
		Scope:          scope,
		Share:          r.Share,
		DurationMs:     r.Duration.Milliseconds(),
		Margin:         r.Margin,
		IdempotencyKey: rand.Text(),
	})
	if err != nil {
		return err
	}
	status, err := decodeDrill(content)
	if err != nil {
		return err
	}
	return r.printUntilEnd(status)
}

func (r *rehearseCommand) stopDrill() error { return r.callDrill(http.MethodDelete) }

func (r *rehearseCommand) printLastDrill() error { return r.callDrill(http.MethodGet) }

// callDrill sends a request about the running or last drill and prints it, if there has been one.
func (r *rehearseCommand) callDrill(method string) error {
	status, err := r.app.fetchDrill(method)
	if err != nil {
		return err
	}
	if status.Number == 0 {
		r.app.printLine("no drill yet")
		return nil
	}
	return r.printUntilEnd(status)
}

// printUntilEnd prints a drill, with --watch repeatedly until it has ended. It returns an error with exitGuard for a
// drill that a guard ended.
func (r *rehearseCommand) printUntilEnd(status drill.Status) error {
	number := status.Number
	for r.Watch && status.Running && status.Number == number {
		if err := r.app.printDrill(status); err != nil {
			return err
		}
		time.Sleep(watchInterval)
		next, err := r.app.fetchDrill(http.MethodGet)
		if err != nil {
			return err
		}
		status = next
	}
	if err := r.app.printDrill(status); err != nil {
		return err
	}
	if !status.Running && status.EndedByGuard {
		return newExitError(exitGuard, "drill ended by a guard: %s", status.EndReason)
	}
	return nil
}

func (a *application) fetchDrill(method string) (drill.Status, error) {
	content, err := a.callRehearsal(method, nil)
	if err != nil {
		return drill.Status{}, err
	}
	return decodeDrill(content)
}

func decodeDrill(content []byte) (drill.Status, error) {
	var status drill.Status
	return status, decode("the drill", content, &status)
}

func (a *application) printDrill(status drill.Status) error {
	if a.options.JSON {
		return a.printJSON(status)
	}
	state := fmt.Sprintf("runs, %s left", time.Duration(status.RemainingMs)*time.Millisecond)
	if !status.Running {
		state = "ended: " + status.EndReason
	}
	a.printf("\ndrill %d: %s, share %.2f, %s\n", status.Number, status.Scope, status.Share, state)
	for _, name := range slices.Sorted(maps.Keys(status.DataPlanes)) {
		if status.DataPlanes[name] != drill.DataPlaneParticipating {
			a.printf("  %s: %s\n", name, status.DataPlanes[name])
		}
	}
	newDrillTable(status).write(a.stdout)
	return nil
}

func newDrillTable(status drill.Status) *table {
	outcomes := newTable("first token in ms: p50/p90/p99",
		"route", "side", "in_aim", "late", "refused", "spared", "broken", "kept", "first")
	for _, route := range status.Routes {
		addOutcomes(outcomes, route.Name, sideDrilled, route.Drilled, route.KeptInScope, route.FirstTokenDrilled)
		addOutcomes(outcomes, route.Name, sideRest, route.Rest, 0, route.FirstTokenRest)
	}
	return outcomes
}

func addOutcomes(outcomes *table, route, side string, counts drill.OutcomeCounts, kept int, firstToken drill.Quantiles) {
	outcomes.addRow(
		route,
		side,
		counts.WithinTarget,
		counts.Late,
		counts.Rejected,
		counts.Exempted,
		counts.Aborted,
		kept,
		formatQuantiles(firstToken),
	)
}
