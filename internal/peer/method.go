package peer

import "time"

// Method identifies a call between the nodes of a fleet. Its value is the last element of the call's path, and part of the
// protocol between versions.
type Method string

// The calls between nodes, with caller, callee and messages.
const (
	// MethodKeystore transports the keystore's consensus protocol between control planes: keystore.Message, keystore.Reply.
	MethodKeystore Method = "keystore"
	// MethodLearn notifies another control plane of a committed write: KeyUpdate, no reply.
	MethodLearn Method = "learn"
	// MethodWatch is a data plane's long poll of a control plane: WatchRequest, WatchResponse.
	MethodWatch Method = "news"
	// MethodSubscribe changes the endpoint sets that a data plane watches: SubscribeRequest, SubscribeResponse.
	MethodSubscribe Method = "follow"
	// MethodReportLoad is a data plane's load report to its control plane: LoadReport, FleetLoad.
	MethodReportLoad Method = "pressure"
	// MethodShareLoad exchanges load between control planes: LoadSummary, LoadSummaryReply.
	MethodShareLoad Method = "sums"
	// MethodShareRoster sends the placement lease holder's list of replicas to another control plane: RosterUpdate.
	MethodShareRoster Method = "roster"
	// MethodFetchRoster requests the list of replicas from another control plane.
	MethodFetchRoster Method = "fetch_roster"
	// MethodChange forwards an operator's configuration change to the control plane that owns the configuration's key:
	// ChangeRequest, ChangeReply.
	MethodChange Method = "change"
	// MethodCoordinate forwards an application's call to the control plane that owns the lock, counter or key group:
	// CoordinationRequest, CoordinationReply.
	MethodCoordinate Method = "coordinate"
	// MethodHandOver asks the previous owner of a lock for its last hold: HandoverRequest, HandoverReply.
	MethodHandOver Method = "hand_over"
	// MethodHeartbeat is the heartbeat between control planes: Heartbeat.
	MethodHeartbeat Method = "greet"
	// MethodForecast sends a data plane's reply to a control plane's forecast request.
	MethodForecast Method = "forecast"
	// MethodForecastPlan asks the placement lease holder for the placement that it would choose after a failure.
	MethodForecastPlan Method = "plan"
	// MethodLend offers quota tokens to another data plane.
	MethodLend Method = "lend"
	// MethodBorrow asks another data plane for quota tokens.
	MethodBorrow Method = "borrow"
)

// pathPrefix precedes the method in the path of every call.
const pathPrefix = "/partner/"

// timeouts holds the timeout of each call, from its start to the last byte of its reply.
var timeouts = map[Method]time.Duration{
	MethodKeystore: 900 * time.Millisecond,
	MethodLearn:    600 * time.Millisecond,
	// Includes the time for which a control plane may keep the request pending; see WatchRequest.MaxWaitMs.
	MethodWatch:       3 * time.Second,
	MethodSubscribe:   600 * time.Millisecond,
	MethodReportLoad:  600 * time.Millisecond,
	MethodShareLoad:   600 * time.Millisecond,
	MethodShareRoster: 600 * time.Millisecond,
	MethodFetchRoster: 600 * time.Millisecond,
	// Longer than an operator's request timeout: a node that takes the key over from a slow owner aborts the owner's work.
	MethodChange: 1200 * time.Millisecond,
	// Includes the time for which the owner may keep the request pending (see coordination.Call.WaitMs). The caller sets a
	// shorter deadline.
	MethodCoordinate:   2 * time.Second,
	MethodHandOver:     400 * time.Millisecond,
	MethodHeartbeat:    600 * time.Millisecond,
	MethodForecast:     900 * time.Millisecond,
	MethodForecastPlan: 900 * time.Millisecond,
	MethodLend:         500 * time.Millisecond,
	// Includes the time for which a home shard may keep the request pending. The caller sets a shorter deadline.
	MethodBorrow: 700 * time.Millisecond,
}

// Path returns the URL path of the method.
func (m Method) Path() string { return pathPrefix + string(m) }

// Timeout returns the timeout of a call, or zero for an unknown method.
func (m Method) Timeout() time.Duration { return timeouts[m] }
