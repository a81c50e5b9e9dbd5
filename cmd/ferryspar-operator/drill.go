package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"ferryspar/internal/drill"
)

const watchInterval = time.Second

func (r *rehearseCommand) startDrill(scope drill.Scope) error {
	if r.Share <= 0 || r.For <= 0 || r.Margin <= 0 {
		return usageError("--share, --for and --margin must be above 0")
	}
	request := drill.Request{
		Kind:           drill.KindDrill,
		Scope:          scope,
		Share:          r.Share,
		ForMs:          r.For.Milliseconds(),
		Margin:         r.Margin,
		IdempotencyKey: rand.Text(),
	}
	status, err := callDrill(http.MethodPost, request)
	if err != nil {
		return err
	}
	return r.watch(status)
}

func (r *rehearseCommand) followDrill(stop bool) error {
	method := http.MethodGet
	if stop {
		method = http.MethodDelete
	}
	status, err := callDrill(method, nil)
	if err != nil {
		return err
	}
	if status.Number == 0 {
		fmt.Println("no drill yet")
		return nil
	}
	return r.watch(status)
}

func (r *rehearseCommand) watch(status drill.Status) error {
	number := status.Number
	for r.Watch && status.Running && status.Number == number {
		printDrill(status)
		time.Sleep(watchInterval)
		next, err := callDrill(http.MethodGet, nil)
		if err != nil {
			return err
		}
		status = next
	}
	printDrill(status)
	if !status.Running && status.EndedByGuard {
		return exitError{exitGuard, "ended by a guard: " + status.EndReason}
	}
	return nil
}

func callDrill(method string, request any) (drill.Status, error) {
	var status drill.Status
	content, err := callRehearsal(method, request)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(content, &status)
}

func printDrill(status drill.Status) {
	if options.JSON {
		content, _ := json.Marshal(status)
		fmt.Println(string(content))
		return
	}
	state := fmt.Sprintf("runs, %s left", time.Duration(status.LeftMs)*time.Millisecond)
	if !status.Running {
		state = "ended: " + status.EndReason
	}
	fmt.Printf("\ndrill %d: %s, share %.2f, %s\n", status.Number, status.Scope, status.Share, state)
	for _, edge := range slices.Sorted(maps.Keys(status.DataPlanes)) {
		if status.DataPlanes[edge] != drill.DataPlaneFollows {
			fmt.Printf("  %s: %s\n", edge, status.DataPlanes[edge])
		}
	}
	const title = "first token in ms: p50/p90/p99"
	const columns = "route side in_aim late refused spared broken kept first"
	printTable(title, columns, func(addRow func(...any)) {
		for _, route := range status.Routes {
			addOutcomeRow(addRow, route.Name, "drilled", route.Drilled, route.KeptInScope, route.FirstTokenDrilled)
			addOutcomeRow(addRow, route.Name, "rest", route.Rest, 0, route.FirstTokenRest)
		}
	})
}

// addOutcomeRow adds the row of one side of a route, the drilled requests or the rest.
func addOutcomeRow(addRow func(...any), route, name string, counts drill.OutcomeCounts, kept int, firstToken drill.Quantiles) {
	addRow(
		route, name,
		counts.WithinTarget, counts.Late, counts.Rejected, counts.Exempted, counts.Aborted,
		kept, formatQuantiles(firstToken),
	)
}
