package adminapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

func newTestServer(t *testing.T, handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newTestClient(addresses ...string) *Client {
	return &Client{
		Addresses:         addresses,
		HTTPClient:        NewHTTPClient(),
		PerAddressTimeout: time.Second,
		Timeout:           5 * time.Second,
	}
}

func TestClient_TriesAddressesAndFollowsRedirects(t *testing.T) {
	received := []string{}
	accepting := newTestServer(t, func(writer http.ResponseWriter, request *http.Request) {
		received = append(received, request.Method+" "+request.URL.Path+" "+request.Header.Get("If-Match"))
		_, _ = writer.Write([]byte("{}"))
	})
	unavailable := newTestServer(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	redirecting := newTestServer(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Location", "http://"+accepting+request.URL.Path)
		writer.WriteHeader(http.StatusTemporaryRedirect)
	})
	client := newTestClient("127.0.0.1:1", unavailable, redirecting)
	response, err := client.Call(context.Background(), http.MethodPut, "/ferryspar/config", "4", []byte("{}"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.DeepEqual(t, received, []string{"PUT /ferryspar/config 4"})
}

func TestClient_DoesNotRetryRejection(t *testing.T) {
	calls := 0
	address := newTestServer(t, func(writer http.ResponseWriter, _ *http.Request) {
		calls++
		writer.WriteHeader(http.StatusPreconditionFailed)
	})
	client := newTestClient(address)
	response, err := client.Call(context.Background(), http.MethodPut, "/", "1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusPreconditionFailed)
	assert.Equal(t, calls, 1)
}

func TestClient_ReportsWhyNoResponseCame(t *testing.T) {
	client := newTestClient("127.0.0.1:1")
	client.Timeout = 300 * time.Millisecond
	_, err := client.Call(context.Background(), http.MethodGet, "/", "", nil)
	assert.ErrorContains(t, err, "no conclusive response within the timeout")
	_, err = (&Client{Timeout: time.Second}).Call(context.Background(), http.MethodGet, "/", "", nil)
	assert.ErrorContains(t, err, "no control plane address given")
	assert.Assert(t, errors.Is(err, ErrNoAddress))
}

func TestClient_RejectsAmbiguousResponse(t *testing.T) {
	for _, form := range httpforms.AmbiguousResponses() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			ambiguous := httpforms.StartServer(t, func(*http.Request) string { return form.Raw })
			next := newTestServer(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{}")) })
			response, err := newTestClient(ambiguous.Address, next).Call(context.Background(), http.MethodGet, "/ferryspar/config", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "{}")
		})
	}
}
