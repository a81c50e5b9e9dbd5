package hollow

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the results of several fleet sizes and the fits to them.
type Report struct {
	Results []Result     `json:"results"`
	Fits    []ScalingFit `json:"slopes"`
}

// Print writes the fits, the call rates and the other results. target is the number of data planes at which the
// straight lines are evaluated.
func (r Report) Print(output io.Writer, target int) {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "phase\trole\tfigure")
	for _, result := range r.Results {
		fmt.Fprintf(table, "\t%d", result.Plan.DataPlanes)
	}
	fmt.Fprintf(table, "\texponent\tfit\tfixed\teach\tfit\tstraight at %d\n", target)
	for _, slope := range r.Fits {
		fmt.Fprintf(table, "%s\t%s\t%s", slope.Phase, slope.Role, slope.Figure)
		position := 0
		for _, result := range r.Results {
			value := "-"
			if position < len(slope.Sizes) && int(slope.Sizes[position]) == result.Plan.DataPlanes {
				value = fmt.Sprintf("%.4g", slope.Values[position])
				position++
			}
			fmt.Fprintf(table, "\t%s", value)
		}
		fmt.Fprintf(table, "\t%.2f\t%.2f", slope.Exponent, slope.Fit)
		fmt.Fprintf(table, "\t%.4g\t%.4g\t%.2f\t%.4g\n", slope.Intercept, slope.PerDataPlane, slope.LinearFit, slope.AtTarget)
	}
	_ = table.Flush()
	r.printCalls(output)
	for _, result := range r.Results {
		result.print(output)
	}
}

// print writes the results of a run that are not part of a phase.
func (r Result) print(output io.Writer) {
	printf := func(format string, arguments ...any) { fmt.Fprintf(output, format, arguments...) }
	printf("\n%d data planes: ready in %.0f ms at most; ", r.Plan.DataPlanes, r.Ready.MaxMs)
	printf("%d changes acknowledged in %.0f ms (median), ", r.Changes.Made, r.Changes.Acknowledged.P50Ms)
	printf("in force everywhere in %.0f ms (median) %.0f ms (maximum), ", r.Changes.Everywhere.P50Ms, r.Changes.Everywhere.MaxMs)
	printf("missed %d; ", r.Changes.Missed)
	printf("requests: %d sent, %d complete, ", r.Requests.Sent, r.Requests.Complete)
	printf("%d rejected, %d broken, ", r.Requests.Rejected, r.Requests.Broken)
	printf("first event %.1f ms (median) %.1f ms (p95); ", r.Requests.First.P50Ms, r.Requests.First.P95Ms)
	printf("%d orders and %d reports at replicas; ", r.PlacementCalls.Instructions, r.PlacementCalls.Reports)
	printf("%d processes, %.0f MB, %.0f s\n", r.Processes, r.MemoryMb, r.DurationS)
	instruction, change := r.Costs()
	printf("  control traffic above the baseline: %.1f kB per placement order, ", instruction)
	printf("%.1f kB per change of the configuration\n", change)
	for _, phase := range r.Phases {
		if len(phase.Saturated) > 0 {
			printf("  %s: processors were saturated at %v, ", phase.Name, phase.Saturated)
			printf("so the latencies do not apply to nodes with dedicated processors\n")
		}
	}
	for _, failure := range r.Failures {
		failure.print(output)
	}
}

// print writes the measurements of a failure in one line.
func (f Failure) print(output io.Writer) {
	printf := func(format string, arguments ...any) { fmt.Fprintf(output, format, arguments...) }
	perS := func(phase Phase) float64 { return float64(phase.Messages) / phase.Seconds }
	printf("  %s: %d data planes, %d control planes, %d replicas; ", f.Name, f.DataPlanes, f.Members, f.Replicas)
	printf("a change during it: %s, %.0f ms; ", f.ChangeOutcome, f.ChangeDuringMs)
	printf("ready again in %.0f ms at most, ", f.Ready.MaxMs)
	printf("a change after it in force everywhere in %.0f ms; ", f.ChangeAfterMs)
	printf("control messages per second %.0f before, %.0f during, %.0f after; ", perS(f.Before), perS(f.During), perS(f.After))
	printf("requests broken %d, rejected %d; ", f.Broken, f.Rejected)
	printf("another lease holder after %.0f ms; isolated side responds %s; ", f.NextHolderMs, f.IsolatedResponse)
	printf("placement orders %d during, %d after, stable after %.0f ms\n", f.During.Instructions, f.After.Instructions, f.StableMs)
}

// printCalls writes the call rates by phase, role and path.
func (r Report) printCalls(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "\nsize\tphase\trole\tcall\tper s and node\tbytes sent\tbytes received")
	for _, result := range r.Results {
		for _, phase := range result.Phases {
			for _, role := range names(phase.Roles) {
				for _, path := range names(phase.Roles[role].Calls) {
					call := phase.Roles[role].Calls[path]
					fmt.Fprintf(table, "%d\t%s\t%s\t%s", result.Plan.DataPlanes, phase.Name, role, path)
					fmt.Fprintf(table, "\t%.3g\t%.0f\t%.0f\n", call.PerS, call.SentBytes, call.ReceivedBytes)
				}
			}
		}
	}
	_ = table.Flush()
}

// Costs returns the control traffic in kB that each placement instruction and each configuration change causes, in addition
// to the traffic of a phase without them.
func (r Result) Costs() (instructionKb, changeKb float64) {
	found := map[string]Phase{}
	for _, phase := range r.Phases {
		found[phase.Name] = phase
	}
	excess := func(phase, baseline Phase) float64 {
		if baseline.Seconds == 0 {
			return 0
		}
		return float64(phase.Bytes)/kilobyte - float64(baseline.Bytes)/kilobyte/baseline.Seconds*phase.Seconds
	}
	if fill := found[phaseFill]; fill.Instructions > 0 {
		instructionKb = excess(fill, found[phaseQuiet]) / float64(fill.Instructions)
	}
	if r.Changes.Made > 0 {
		changeKb = excess(found[phaseChanges], found[phaseTraffic]) / float64(r.Changes.Made)
	}
	return instructionKb, changeKb
}
