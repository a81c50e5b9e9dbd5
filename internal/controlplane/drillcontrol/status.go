package drillcontrol

import "ferryspar/internal/drill"

// status is a drill as an operator sees it, by what this node knows.
func (c *Controller) status(record drill.Record) drill.Status {
	status := drill.Status{Record: record, DataPlanes: map[string]string{}}
	if !record.Running {
		status.RemainingMs = 0
		return status
	}
	state := c.node.State().Drill
	if state.Number == record.Number {
		c.addDeadlines(&status, state)
	}
	for _, dataPlane := range c.dataPlanes.Known() {
		status.DataPlanes[dataPlane] = drill.DataPlaneSilent
	}
	for dataPlane, report := range c.reports.of(record.Number) {
		status.DataPlanes[dataPlane] = drill.DataPlaneParticipating
		if report.EndReason != "" {
			status.DataPlanes[dataPlane] = report.EndReason
		}
	}
	status.Routes = drill.MergeReports(c.reports.listOf(record.Number))
	return status
}

// addDeadlines adds the time left by this node's clock, and why the drill has ended where its record
// doesn't say so yet.
func (c *Controller) addDeadlines(status *drill.Status, state drill.State) {
	now := c.config.Clock()
	status.RemainingMs = max(state.Deadline.Sub(now), 0).Milliseconds()
	status.Running = state.IsRunning(now)
	if !status.Running {
		status.EndReason = drill.EndedByTime
		status.EndedByGuard = now.Before(state.Deadline)
	}
	if status.EndedByGuard {
		status.EndReason = drill.EndedWithoutRenewal
	}
}
