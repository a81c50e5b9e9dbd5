package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/httpframing"
	"ferryspar/internal/replica"
)

const (
	backendName     = "scribes"
	modelName       = "swift"
	replicaSlots    = 64
	replicaKVTokens = 5000000
)

// standIn is a replica that records what it runs. Its pace changes, and some of its responses are faulty.
type standIn struct {
	listed   discovery.Replica
	recorder *recorder
	pacer    *pacer
	runs     atomic.Int64
	// liesUntil is the end of the time in which its health checks are false, in nanoseconds since the start of the run.
	liesUntil atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *standIn) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(replica.HeaderAttemptID)
	writer.Header().Set(replica.HeaderAttemptID, id)
	if request.Header.Get(replica.HeaderTargetReplica) != s.listed.ID {
		writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case replica.ReportEndpoint.Path:
		writeJSON(writer, replica.Report{Phase: discovery.PhaseUnified, Models: s.listed.Models, KVTokensTotal: replicaKVTokens})
	case replica.OrderEndpoint.Path:
		writer.WriteHeader(http.StatusOK)
	case "/healthz":
		writer.Header().Set(replica.HeaderReplicaID, s.listed.ID)
		if s.recorder.now() < time.Duration(s.liesUntil.Load()) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		s.answer(writer, request, id)
	}
}

// answer runs a request, unless it is malformed or its misbehaviour is to reject it.
func (s *standIn) answer(writer http.ResponseWriter, request *http.Request, id string) {
	body, err := io.ReadAll(request.Body)
	kind := misbehaviourOf(id, s.listed.ID, int(s.runs.Add(1)))
	if err != nil || id == "" || kind == answerFull {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := execution{ID: id, Replica: s.listed.ID, Zone: s.listed.Zone, Body: string(body), Misbehaviour: kind}
	_, _ = fmt.Sscanf(request.Header.Get(replica.HeaderLastEventID), "%d", &run.From)
	position := s.recorder.beginExecution(run)
	complete := false
	defer func() { s.recorder.endExecution(position, complete) }()
	switch kind {
	case resetAtOnce:
		panic(http.ErrAbortHandler)
	case answerError:
		writer.Header().Set(replica.HeaderSeal, sealOf(id))
		writer.WriteHeader(http.StatusInternalServerError)
		complete = true
		return
	}
	complete = s.stream(writer, request, run)
}

// stream writes the events of a response and reports whether it wrote all of them.
func (s *standIn) stream(writer http.ResponseWriter, request *http.Request, run execution) bool {
	writer.Header().Set(replica.HeaderSeal, sealOf(run.ID))
	writer.Header().Set("Content-Type", "text/event-stream")
	events := eventCount(run.ID)
	random := drawOf(run.ID + run.Replica)
	stallAt := -1
	if random.Float64() < stallShare {
		stallAt = random.IntN(events)
	}
	for number := run.From; number < events; number++ {
		wait := s.pacer.interval()
		if number == stallAt {
			wait += time.Duration(random.Float64() * float64(longestStall))
		}
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(wait):
		}
		event := eventOf(run.ID, number+1)
		if run.Misbehaviour == breakOff && number == (run.From+events)/2 {
			_, _ = io.WriteString(writer, event[:len(event)/2])
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, event)
		_ = http.NewResponseController(writer).Flush()
	}
	return true
}

// platform answers the platform's list of replicas, on one page.
type platform struct{ replicas []*standIn }

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	entries := []discovery.Replica{}
	for _, entry := range p.replicas {
		entries = append(entries, entry.listed)
	}
	writeJSON(writer, map[string]any{"instances": entries, "nextToken": nil})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// serve serves HTTP on a free port of the address and returns where.
func serve(host string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = httpframing.Serve(server, listener, httpframing.Options{}) }()
	return listener.Addr().String(), nil
}
