package usage

import "encoding/json"

// maxPending is the maximum number of reports kept that the platform has not accepted. Beyond it the oldest are lost.
const maxPending = 128

// Report holds the final counts of one window.
type Report struct {
	Window uint64            `json:"windowId"`
	Counts map[string]uint64 `json:"counts"`
}

// Body returns the JSON encoding that is sent to the platform. It is the same for equal reports, whichever process sends them.
func (r Report) Body() []byte {
	body, _ := json.Marshal(r) // maps are encoded with sorted keys
	return body
}

// ReportState is the stored state of the windows whose counts are final. The counts of a window are stored before they are sent
// anywhere, and never change after that: there must not be two reports of a window with different counts.
type ReportState struct {
	// ClosedUpTo is the newest window whose counts are final, 0 before the first.
	ClosedUpTo uint64 `json:"closed"`
	// Pending holds the reports that are not known to have been accepted, oldest first.
	Pending []Report `json:"pending,omitempty"`
}

// DecodeReportState decodes a stored state. An empty value decodes to the zero state.
func DecodeReportState(value json.RawMessage) (ReportState, error) {
	var state ReportState
	if len(value) == 0 {
		return state, nil
	}
	return state, json.Unmarshal(value, &state)
}

// Close returns the state after the windows of the reports were closed, without the pending reports that were accepted. Reports
// of windows that are closed already are ignored.
func (r ReportState) Close(reports []Report, isAccepted func(window uint64) bool) ReportState {
	next := ReportState{ClosedUpTo: r.ClosedUpTo}
	for _, report := range r.Pending {
		if !isAccepted(report.Window) {
			next.Pending = append(next.Pending, report)
		}
	}
	for _, report := range reports {
		if report.Window > next.ClosedUpTo {
			next.ClosedUpTo = report.Window
			next.Pending = append(next.Pending, report)
		}
	}
	next.Pending = next.Pending[max(len(next.Pending)-maxPending, 0):]
	return next
}
