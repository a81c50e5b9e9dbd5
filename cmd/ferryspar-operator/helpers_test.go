package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ferryspar/internal/cli"
)

// newTestApplication returns an application that calls the addresses and prints to the buffer.
func newTestApplication(addresses ...string) (*application, *bytes.Buffer) {
	stdout := &bytes.Buffer{}
	app := &application{
		options: globalOptions{ControlPlanes: addresses, PerAddressTimeout: time.Second, Timeout: 5 * time.Second},
		stdout:  stdout,
		stderr:  io.Discard,
	}
	return app, stdout
}

// fakeControlPlane is a server that sends given responses in place of a control plane.
type fakeControlPlane struct {
	address string
	// requests are the requests received, each as "METHOD PATH BODY".
	requests []string
	// escapedPaths are their paths as they were sent, with escapes.
	escapedPaths []string
}

// startFakeControlPlane starts a server that responds with the status and the bodies in turn, then repeats the last body.
func startFakeControlPlane(t *testing.T, status int, bodies ...any) *fakeControlPlane {
	controlPlane := &fakeControlPlane{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		controlPlane.requests = append(controlPlane.requests, request.Method+" "+request.URL.Path+" "+string(body))
		controlPlane.escapedPaths = append(controlPlane.escapedPaths, request.URL.EscapedPath())
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(bodies[min(len(controlPlane.requests), len(bodies))-1])
	}))
	t.Cleanup(server.Close)
	controlPlane.address = strings.TrimPrefix(server.URL, "http://")
	return controlPlane
}

// exitStatus returns the status that the program would end with.
func exitStatus(err error) int { return cli.ReportError(programName, err) }
