package replica

import (
	"net/http"
	"time"
)

const (
	HeaderAttempt     = "Ferryspar-Attempt-Id"
	HeaderSeal        = "Ferryspar-Server-Seal"
	HeaderTarget      = "Ferryspar-Target-Replica"
	HeaderNotExecuted = "Ferryspar-Not-Executed"
	HeaderIdentity    = "Ferryspar-Replica-Id"
	HeaderRemaining   = "Ferryspar-Time-Remaining"
	HeaderUrgency     = "Ferryspar-Urgency-Class"
	HeaderModel       = "Ferryspar-Model"
	HeaderTokens      = "Ferryspar-Token-Count"
	HeaderPrefix      = "Ferryspar-Prompt-Prefix"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderCold        = "Ferryspar-Cold-Remaining"
)

type Call struct {
	Method string
	Path   string
	Bound  time.Duration
}

var Calls = map[string]Call{
	"order":  {http.MethodPost, "/ferryspar/order", 700 * time.Millisecond},
	"report": {http.MethodGet, "/ferryspar/report", 700 * time.Millisecond},
}

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
