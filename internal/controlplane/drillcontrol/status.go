package drillcontrol

import "ferryspar/internal/drill"

// status returns the status of a drill for an operator, from this node's knowledge.
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
	for dataPlane, report := range c.reports.ofDrill(record.Number) {
		status.DataPlanes[dataPlane] = drill.DataPlaneParticipating
		if report.EndReason != "" {
			status.DataPlanes[dataPlane] = report.EndReason
		}
	}
	status.Routes = drill.MergeReports(c.reports.listOfDrill(record.Number))
	return status
}

// addDeadlines adds the remaining time by this node's clock, and why the drill has ended if its record
// doesn't contain that yet.
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
