package usage

import "encoding/json"

// maxPending is how many reports are kept that the platform has not accepted: what it missed for longer is lost.
const maxPending = 128

// Report holds the final counts of one window.
type Report struct {
	Window uint64            `json:"windowId"`
	Counts map[string]uint64 `json:"counts"`
}

// Body is the report as the platform is sent it: the same bytes whoever sends it.
func (r Report) Body() []byte {
	body, _ := json.Marshal(r) // maps are encoded in the order of their keys
	return body
}

// ReportState is what is stored of windows whose counts are final. A window's counts are stored before they are sent anywhere, and never
// change after that: two reports of a window with different counts must not exist.
type ReportState struct {
	// ClosedUpTo is the newest window whose counts are final, 0 before the first.
	ClosedUpTo uint64 `json:"closed"`
	// Pending are the final counts of windows that are not known to have been accepted, the oldest first.
	Pending []Report `json:"pending,omitempty"`
}

// DecodeReportState reads a stored record; an empty value is one without windows.
func DecodeReportState(value json.RawMessage) (ReportState, error) {
	var record ReportState
	if len(value) == 0 {
		return record, nil
	}
	return record, json.Unmarshal(value, &record)
}

// Close returns the record with the counts of further windows, and without reports that were accepted. Windows that the record has
// closed keep their counts.
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
