package integration

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"ferryspar/internal/replica"
)

// failureModes are the ways in which a stand-in can fail a request, by name.
var failureModes = map[string]func(writer http.ResponseWriter, request *http.Request){
	"errors": func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
	},
	"reset": func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) },
	"hang": func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	},
	"shed": func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(replica.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	},
	"other-attempt": rawResponse(func(_ string) string { return completeResponse("other-attempt") }),
	"no-attempt-id": rawResponse(func(_ string) string {
		return "HTTP/1.1 408 Late\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	}),
	"503-without-proof": rawResponse(func(attempt string) string {
		return "HTTP/1.1 503 Full\r\n" + replica.HeaderAttemptID + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	}),
	"malformed":      rawResponse(func(_ string) string { return "no answer\r\n\r\n" }),
	"duplicated":     rawResponse(func(attempt string) string { return completeResponse(attempt) + completeResponse(attempt) }),
	"trailing-bytes": rawResponse(func(attempt string) string { return completeResponse(attempt) + "and more that belongs to nothing" }),
}

// setFailureMode makes one request in every few fail in the named way; the empty name turns failures off.
func (s *standInReplica) setFailureMode(mode string, every int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.failureMode, s.failEvery = mode, every
}

// rawResponse returns a handler that writes bytes to the connection as they are and leaves it open for one second.
func rawResponse(compose func(attempt string) string) func(writer http.ResponseWriter, request *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = fmt.Fprint(connection, compose(request.Header.Get(replica.HeaderAttemptID)))
		time.Sleep(time.Second)
	}
}

// completeResponse returns a complete HTTP response to an attempt.
func completeResponse(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		replica.HeaderAttemptID, attempt, replica.HeaderSeal, attempt, len(attempt), attempt)
}
