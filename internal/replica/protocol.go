package replica

import (
	"net/http"
	"time"
)

// Headers of the protocol between clients, nodes and replicas. The names are part of the wire format.
const (
	// HeaderAttemptID is the client's id of an attempt. The response must echo it.
	HeaderAttemptID = "Ferryspar-Attempt-Id"
	// HeaderSeal marks a response as the replica's own: a replica sets it on its successful responses only.
	HeaderSeal = "Ferryspar-Server-Seal"
	// HeaderTargetReplica is the id of the replica that a request is addressed to.
	HeaderTargetReplica = "Ferryspar-Target-Replica"
	// HeaderNotExecuted is set by a replica that has not executed the request and never will.
	HeaderNotExecuted = "Ferryspar-Not-Executed"
	// HeaderReplicaID is the id of the responding replica.
	HeaderReplicaID = "Ferryspar-Replica-Id"
	// HeaderTimeRemaining is the time until the deadline, in milliseconds.
	HeaderTimeRemaining = "Ferryspar-Time-Remaining"
	// HeaderUrgency is the priority of a request, from 0 (highest) to 9.
	HeaderUrgency = "Ferryspar-Urgency-Class"
	// HeaderModel is the model, or model/adapter, that a request is for.
	HeaderModel = "Ferryspar-Model"
	// HeaderTokenCount is the number of prompt tokens and the expected number of output tokens.
	HeaderTokenCount = "Ferryspar-Token-Count"
	// HeaderPromptPrefix lists the parts of the prompt, for routing to a replica that has them cached.
	HeaderPromptPrefix = "Ferryspar-Prompt-Prefix"
	// HeaderLastEventID is the id of the event after which a resumed stream continues.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderWarmUpRemaining is the remaining warm-up time of a replica, in milliseconds.
	HeaderWarmUpRemaining = "Ferryspar-Cold-Remaining"
	// HeaderTenant is the name of the tenant that a request belongs to.
	HeaderTenant = "Ferryspar-Tenant"
	// HeaderServingPhase asks a prefill replica to process the prompt only. It is removed from clients' requests.
	HeaderServingPhase = "Ferryspar-Serving-Phase"
	// HeaderKVSource tells a decode replica where to fetch the KV cache from, as ADDRESS/HANDLE. It is removed from clients'
	// requests.
	HeaderKVSource = "Kv-From"
	// HeaderAPIKey is the client's API key. It is never forwarded to replicas.
	HeaderAPIKey = "X-Api-Key"
)

// protocolPrefix is the prefix of the protocol's own headers.
const protocolPrefix = "Ferryspar-"

// Endpoint is an HTTP endpoint of replicas with its timeout.
type Endpoint struct {
	Method  string
	Path    string
	Timeout time.Duration
}

// OrderEndpoint accepts placement orders.
var OrderEndpoint = Endpoint{Method: http.MethodPost, Path: "/ferryspar/order", Timeout: 700 * time.Millisecond}

// ReportEndpoint returns a Report.
var ReportEndpoint = Endpoint{Method: http.MethodGet, Path: "/ferryspar/report", Timeout: 700 * time.Millisecond}

// handlePath is the path prefix of KV cache handles; DELETE releases a handle.
const handlePath = "/ferryspar/kv-handle/"

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}
