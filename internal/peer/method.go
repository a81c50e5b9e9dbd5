package peer

import "time"

// Method names a call between the nodes of one fleet. Its value is the last element of the call's path, and part of
// the protocol between versions.
type Method string

// The calls between nodes. The comments say who calls whom, and with which messages.
const (
	// MethodKeystore carries the keystore's own protocol between control planes: keystore.Message, keystore.Reply.
	MethodKeystore Method = "keystore"
	// MethodLearn notifies another control plane of a committed key: KeyUpdate, no reply.
	MethodLearn Method = "learn"
	// MethodWatch is a data plane's long poll at a control plane: WatchRequest, WatchResponse.
	MethodWatch Method = "news"
	// MethodSubscribe changes the endpoint sets that a data plane watches: SubscribeRequest, SubscribeResponse.
	MethodSubscribe Method = "follow"
	// MethodReportLoad is a data plane's load report to its control plane: LoadReport, FleetLoad.
	MethodReportLoad Method = "pressure"
	// MethodShareLoad exchanges load between control planes: LoadSummary, LoadSummaryReply.
	MethodShareLoad Method = "sums"
	// MethodShareRoster gives the placement lease's holder's list of replicas to another control plane: RosterUpdate.
	MethodShareRoster Method = "roster"
	// MethodFetchRoster asks another control plane for its list of replicas.
	MethodFetchRoster Method = "fetch_roster"
	// MethodChange forwards an operator's change of the configuration to the control plane that owns its key: ChangeRequest,
	// ChangeReply.
	MethodChange Method = "change"
	// MethodCoordinate forwards a call of an application to the control plane that owns its lock, counter or group of keys:
	// CoordinationRequest, CoordinationReply.
	MethodCoordinate Method = "coordinate"
	// MethodHandOver asks the former owner of a lock how long the last hold lasts: HandoverRequest, HandoverReply.
	MethodHandOver Method = "hand_over"
	// MethodHeartbeat is the heartbeat between control planes: Heartbeat.
	MethodHeartbeat Method = "greet"
	// MethodForecast is a data plane's answer to a control plane's forecast question.
	MethodForecast Method = "forecast"
	// MethodForecastPlan asks the placement lease's holder how it would place models after a loss.
	MethodForecastPlan Method = "plan"
	// MethodLend offers quota tokens to another data plane.
	MethodLend Method = "lend"
	// MethodBorrow asks another data plane for quota tokens.
	MethodBorrow Method = "borrow"
)

// pathPrefix comes before the method in the path of every call.
const pathPrefix = "/partner/"

// timeouts holds how long each call may take, from its start to the last byte of its reply.
var timeouts = map[Method]time.Duration{
	MethodKeystore: 900 * time.Millisecond,
	MethodLearn:    600 * time.Millisecond,
	// MethodWatch includes the time for which a control plane may keep the request pending, see WatchRequest.MaxWaitMs.
	MethodWatch:       3 * time.Second,
	MethodSubscribe:   600 * time.Millisecond,
	MethodReportLoad:  600 * time.Millisecond,
	MethodShareLoad:   600 * time.Millisecond,
	MethodShareRoster: 600 * time.Millisecond,
	MethodFetchRoster: 600 * time.Millisecond,
	// MethodChange is longer than an operator waits: who takes the key from an owner that is slow undoes its work.
	MethodChange: 1200 * time.Millisecond,
	// MethodCoordinate includes the time for which an owner may keep the request pending, see coordination.Call.WaitMs; its
	// caller bounds it further.
	MethodCoordinate:   2 * time.Second,
	MethodHandOver:     400 * time.Millisecond,
	MethodHeartbeat:    600 * time.Millisecond,
	MethodForecast:     900 * time.Millisecond,
	MethodForecastPlan: 900 * time.Millisecond,
	MethodLend:         500 * time.Millisecond,
	// MethodBorrow includes the time for which a home shard may hold the request; its caller bounds it further.
	MethodBorrow: 700 * time.Millisecond,
}

// Path returns the path that the method is served at.
func (m Method) Path() string { return pathPrefix + string(m) }

// Timeout returns how long a call may take before its caller gives it up, or zero for an unknown method.
func (m Method) Timeout() time.Duration { return timeouts[m] }
