package hollow

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the results of several sizes and the slopes through them.
type Report struct {
	Results []Result     `json:"results"`
	Fits    []ScalingFit `json:"slopes"`
}

// Print prints the slopes, the calls and the rest of each result as tables.
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

// print prints what a run measured beside its phases.
func (r Result) print(output io.Writer) {
	say := func(format string, arguments ...any) { fmt.Fprintf(output, format, arguments...) }
	say("\n%d data planes: ready in %.0f ms at most; ", r.Plan.DataPlanes, r.Ready.MaxMs)
	say("%d changes acknowledged in %.0f ms (median), ", r.Changes.Made, r.Changes.Acknowledged.P50Ms)
	say("in force everywhere in %.0f ms (median) %.0f ms (most), ", r.Changes.Everywhere.P50Ms, r.Changes.Everywhere.MaxMs)
	say("missed %d; ", r.Changes.Missed)
	say("orders %d asked, %d whole, ", r.Requests.Sent, r.Requests.Complete)
	say("%d refused, %d cut, ", r.Requests.Rejected, r.Requests.Broken)
	say("first event %.1f ms (median) %.1f ms (95 of 100); ", r.Requests.First.P50Ms, r.Requests.First.P95Ms)
	say("%d orders and %d reports at replicas; ", r.PlacementCalls.Instructions, r.PlacementCalls.Reports)
	say("%d processes, %.0f MB, %.0f s\n", r.Processes, r.MemoryMb, r.DurationS)
	instruction, change := r.Costs()
	say("  control bytes beyond the calm ones: %.1f kB a placement order, ", instruction)
	say("%.1f kB a change of the configuration\n", change)
	for _, phase := range r.Phases {
		if len(phase.Saturated) > 0 {
			say("  %s: processors were full at %v, ", phase.Name, phase.Saturated)
			say("so its delays say nothing of nodes with processors of their own\n")
		}
	}
	for _, failure := range r.Failures {
		failure.print(output)
	}
}

// print prints what was measured of a failure, in one line.
func (f Failure) print(output io.Writer) {
	say := func(format string, arguments ...any) { fmt.Fprintf(output, format, arguments...) }
	perS := func(phase Phase) float64 { return float64(phase.Messages) / phase.Seconds }
	say("  %s: %d data planes, %d control planes, %d replicas; ", f.Name, f.DataPlanes, f.Members, f.Replicas)
	say("a change during it: %s, %.0f ms; ", f.ChangeOutcome, f.ChangeDuringMs)
	say("ready again in %.0f ms at most, ", f.Ready.MaxMs)
	say("a change after it in force everywhere in %.0f ms; ", f.ChangeAfterMs)
	say("control messages a second %.0f before, %.0f during, %.0f after; ", perS(f.Before), perS(f.During), perS(f.After))
	say("orders cut %d, refused %d; ", f.Broken, f.Rejected)
	say("told to another holder after %.0f ms; cut-off side answers %s; ", f.NextHolderMs, f.IsolatedAnswer)
	say("placement orders %d during, %d after, calm after %.0f ms\n", f.During.Instructions, f.After.Instructions, f.StableMs)
}

// printCalls prints the rates of every path by phase and role.
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

// Costs are the control bytes, in kB, that a placement instruction and a change of the
// configuration add to those of a calm phase.
func (r Result) Costs() (instructionKb, changeKb float64) {
	found := map[string]Phase{}
	for _, phase := range r.Phases {
		found[phase.Name] = phase
	}
	beyond := func(phase, calm Phase) float64 {
		if calm.Seconds == 0 {
			return 0
		}
		return float64(phase.Bytes)/kilobytes - float64(calm.Bytes)/kilobytes/calm.Seconds*phase.Seconds
	}
	if fill := found[phaseFill]; fill.Instructions > 0 {
		instructionKb = beyond(fill, found[phaseQuiet]) / float64(fill.Instructions)
	}
	if r.Changes.Made > 0 {
		changeKb = beyond(found[phaseChanges], found[phaseTraffic]) / float64(r.Changes.Made)
	}
	return instructionKb, changeKb
}
