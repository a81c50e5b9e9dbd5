package replica

import (
	"net/http"
	"time"
)

// Headers of the protocol between clients, nodes and replicas. The names are on the wire and stay as they are.
const (
	// HeaderAttemptID is the client's id of an attempt, which its response has to bear.
	HeaderAttemptID = "Ferryspar-Attempt-Id"
	// HeaderSeal is the seal of a replica, which only its own successful responses bear.
	HeaderSeal = "Ferryspar-Server-Seal"
	// HeaderTargetReplica is the id of the replica that a request is meant for.
	HeaderTargetReplica = "Ferryspar-Target-Replica"
	// HeaderNotExecuted is a replica's proof that it has not run the request and never will.
	HeaderNotExecuted = "Ferryspar-Not-Executed"
	// HeaderReplicaID is the id of the replica that responds.
	HeaderReplicaID = "Ferryspar-Replica-Id"
	// HeaderTimeRemaining is the time until the deadline, in milliseconds.
	HeaderTimeRemaining = "Ferryspar-Time-Remaining"
	// HeaderUrgency is the rank of a request, from 0 (first) to 9.
	HeaderUrgency = "Ferryspar-Urgency-Class"
	// HeaderModel is the model, or model/adapter, that a request asks for.
	HeaderModel = "Ferryspar-Model"
	// HeaderTokenCount are the numbers of tokens of the prompt and, expected, of the output.
	HeaderTokenCount = "Ferryspar-Token-Count"
	// HeaderPromptPrefix are the parts of the prompt, for the choice of a replica that has them cached.
	HeaderPromptPrefix = "Ferryspar-Prompt-Prefix"
	// HeaderLastEventID is the id of the event after which a stream goes on.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderWarmUpRemaining is how long a replica still warms up, in milliseconds.
	HeaderWarmUpRemaining = "Ferryspar-Cold-Remaining"
	// HeaderTenant is the name of the tenant that a request belongs to.
	HeaderTenant = "Ferryspar-Tenant"
	// HeaderServingPhase asks a prefill replica to read the prompt only. Clients must not set it.
	HeaderServingPhase = "Ferryspar-Serving-Phase"
	// HeaderKVSource tells a decode replica which memory to continue from, as ADDRESS/HANDLE. Clients must not set it.
	HeaderKVSource = "Kv-From"
	// HeaderAPIKey is the client's key, which never reaches a replica.
	HeaderAPIKey = "X-Api-Key"
)

// protocolPrefix begins the names of the protocol's own headers.
const protocolPrefix = "Ferryspar-"

// Endpoint is a method and path of replicas, and how long a call of it may take.
type Endpoint struct {
	Method  string
	Path    string
	Timeout time.Duration
}

// OrderEndpoint takes placement orders.
var OrderEndpoint = Endpoint{Method: http.MethodPost, Path: "/ferryspar/order", Timeout: 700 * time.Millisecond}

// ReportEndpoint answers with a Report.
var ReportEndpoint = Endpoint{Method: http.MethodGet, Path: "/ferryspar/report", Timeout: 700 * time.Millisecond}

// handlePath begins the paths of handles, which are freed by DELETE.
const handlePath = "/ferryspar/kv-handle/"

// hopByHopHeaders concern one connection only and are never passed on.
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
