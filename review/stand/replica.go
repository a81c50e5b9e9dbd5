package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// model is the one model that all stand-in replicas hold.
const model = "daka510000"

// eventInterval is the time between two events of a stream, each of which holds three tokens.
const eventInterval = 33 * time.Millisecond

// execution is one run of a request at a replica.
type execution struct {
	id, target, replica string
}

// executions collects the runs of all replicas.
type executions struct {
	lock sync.Mutex
	all  []execution
}

func (e *executions) add(run execution) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.all = append(e.all, run)
}

func (e *executions) list() []execution {
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]execution(nil), e.all...)
}

// standIn is a sound replica: it echoes the attempt's id, seals its answers, and streams events.
type standIn struct {
	id, zone, address string
	events            int
	runs              *executions
	log               *record
}

func (s *standIn) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Ferryspar-Attempt-Id")
	writer.Header().Set("Ferryspar-Attempt-Id", id)
	if target := request.Header.Get("Ferryspar-Target-Replica"); target != "" && target != s.id {
		writer.Header().Set("Ferryspar-Replica-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/ferryspar/report":
		s.report(writer)
	case "/ferryspar/order":
		writer.WriteHeader(http.StatusOK)
	case "/healthz":
		writer.Header().Set("Ferryspar-Replica-Id", s.id)
	default:
		s.stream(writer, request, id)
	}
}

func (*standIn) models() []map[string]any {
	return []map[string]any{{"name": model, "revision": 1, "adapterList": []string{}}}
}

func (s *standIn) report(writer http.ResponseWriter) {
	writeJSON(writer, map[string]any{
		"phase": "unified", "modelList": s.models(), "utilization": false, "sequence": 0, "queuedRequests": 0,
		"activeRequests": 0, "kvCacheUsed": 0, "kvCacheTotal": kvCacheTokens, "canServe": 0,
	})
}

func (s *standIn) entry() map[string]any {
	return map[string]any{
		"id": s.id, "backend": service, "address": s.address, "zone": s.zone, "revision": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "phase": "unified", "modelList": s.models(),
	}
}

func (s *standIn) stream(writer http.ResponseWriter, request *http.Request, id string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		writer.Header().Set("Ferryspar-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.runs.add(execution{id: id, target: request.RequestURI, replica: s.id})
	s.log.write("%s runs %s %s %s, %d bytes of body", s.id, id, request.Method, request.RequestURI, len(body))
	writer.Header().Set("Ferryspar-Server-Seal", "seal."+id)
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= s.events && pause(request.Context(), eventInterval); number++ {
		fmt.Fprintf(writer, "id: %d\ndata: word\n\n", number)
		_ = http.NewResponseController(writer).Flush()
	}
}

// pause waits and reports whether the context is still in force.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// platform answers the platform's list of replicas, on one page.
type platform struct{ replicas []*standIn }

func (p *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !strings.HasPrefix(request.URL.Path, "/replicas") {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	entries := []map[string]any{}
	for _, replica := range p.replicas {
		entries = append(entries, replica.entry())
	}
	writeJSON(writer, map[string]any{"instances": entries, "nextToken": nil})
}
