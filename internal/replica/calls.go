// Package replica speaks with replicas: it forwards clients' requests, sends placement orders and asks for reports. It
// ties each answer to its call and sends nothing twice; docs/answers.md says how.
package replica

import (
	"net/http"
	"time"
)

// Headers of the protocol between clients, daemons and replicas.
const (
	HeaderAttempt         = "Ferryspar-Attempt-Id"
	HeaderSeal            = "Ferryspar-Server-Seal"
	HeaderTarget          = "Ferryspar-Target-Replica"
	HeaderNotExecuted     = "Ferryspar-Not-Executed"
	HeaderReplicaID       = "Ferryspar-Replica-Id"
	HeaderRemaining       = "Ferryspar-Time-Remaining"
	HeaderUrgency         = "Ferryspar-Urgency-Class"
	HeaderModel           = "Ferryspar-Model"
	HeaderTokens          = "Ferryspar-Token-Count"
	HeaderPrefix          = "Ferryspar-Prompt-Prefix"
	HeaderLastEventID     = "Last-Event-Id"
	HeaderWarmUpRemaining = "Ferryspar-Cold-Remaining"
	HeaderTenant          = "Ferryspar-Tenant"
	HeaderAPIKey          = "X-Api-Key"
)

// protocolPrefix begins the names of the protocol's own headers.
const protocolPrefix = "Ferryspar-"

// Endpoint is a call of our own to a replica: its method and path, and how long it may take.
type Endpoint struct {
	Method  string
	Path    string
	Timeout time.Duration
}

// Endpoints holds the calls of our own by name.
var Endpoints = map[string]Endpoint{
	"order":  {http.MethodPost, "/ferryspar/order", 700 * time.Millisecond},
	"report": {http.MethodGet, "/ferryspar/report", 700 * time.Millisecond},
}

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
