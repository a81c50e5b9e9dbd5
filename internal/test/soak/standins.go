package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/httpframing"
	"ferryspar/internal/replica"
)

const (
	backendName = "scribes"
	modelName   = "swift"
	// eventInterval is the time between two events of a stream, of which there are shortestStream to longestStream.
	eventInterval                  = 20 * time.Millisecond
	shortestStream, streamVariants = 2, 150
	replicaSlots                   = 64
	replicaKVTokens                = 500000
)

// promptOf returns the body of the request with the id, sealOf the seal of its response, and streamOf the body of its response.
func promptOf(id string) string { return "prompt of " + id }

func sealOf(id string) string { return "seal." + id }

func streamOf(id string) string {
	var stream strings.Builder
	for number := range eventCount(id) {
		stream.WriteString(eventOf(id, number+1))
	}
	return stream.String()
}

func eventOf(id string, number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id) }

// eventCount returns the number of events of a stream, which the id determines.
func eventCount(id string) int {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id)
	return shortestStream + int(sum.Sum32()%streamVariants)
}

// standIn is a healthy replica that records what it runs.
type standIn struct {
	listed   discovery.Replica
	recorder *recorder
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
	default:
		s.stream(writer, request, id)
	}
}

func (s *standIn) stream(writer http.ResponseWriter, request *http.Request, id string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	position := s.recorder.beginExecution(execution{ID: id, Replica: s.listed.ID, Body: string(body)})
	complete := false
	defer func() { s.recorder.endExecution(position, complete) }()
	writer.Header().Set(replica.HeaderSeal, sealOf(id))
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range eventCount(id) {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		_, _ = io.WriteString(writer, eventOf(id, number+1))
		_ = http.NewResponseController(writer).Flush()
	}
	complete = true
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
