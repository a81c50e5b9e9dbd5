package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestClient(t *testing.T, handle http.HandlerFunc) *Client {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return &Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTPClient: server.Client()}
}

func TestClient_ListReadsAllPagesInOrder(t *testing.T) {
	tokens := []string{}
	client := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
		token := request.URL.Query().Get("pageToken")
		tokens = append(tokens, token)
		if token == "" {
			fmt.Fprint(writer, `{"instances":[{"id":"i-1"}],"nextToken":"p&1"}`)
			return
		}
		fmt.Fprint(writer, `{"instances":[{"id":"i-2"}],"nextToken":null}`)
	})
	replicas, err := client.List(t.Context(), ListOptions{})
	assert.NilError(t, err)
	assert.Equal(t, len(replicas), 2)
	assert.DeepEqual(t, tokens, []string{"", "p&1"})
	assert.Equal(t, client.PageCount(), 2)
}

func TestClient_ListFailsIfAnyPageFails(t *testing.T) {
	for name, serveFaulty := range map[string]http.HandlerFunc{
		"error status": func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) },
		"truncated": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "100")
			fmt.Fprint(writer, `{"instances":[]`)
		},
		"not JSON": func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "words") },
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Query().Get("pageToken") == "" {
					fmt.Fprint(writer, `{"instances":[{"id":"i-1"}],"nextToken":"p-1"}`)
					return
				}
				serveFaulty(writer, request)
			})
			replicas, err := client.List(t.Context(), ListOptions{})
			assert.Assert(t, err != nil)
			assert.Equal(t, len(replicas), 0)
		})
	}
}

func TestClient_ListRetriesThrottledPage(t *testing.T) {
	calls := map[string]int{}
	client := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
		token := request.URL.Query().Get("pageToken")
		calls[token]++
		switch {
		case token == "":
			fmt.Fprint(writer, `{"instances":[{"id":"i-1"}],"nextToken":"p-1"}`)
		case calls[token] <= 2:
			writer.WriteHeader(http.StatusTooManyRequests)
		default:
			fmt.Fprint(writer, `{"instances":[{"id":"i-2"}],"nextToken":null}`)
		}
	})
	replicas, err := client.List(t.Context(), ListOptions{})
	assert.NilError(t, err)
	assert.Equal(t, len(replicas), 2)
	assert.DeepEqual(t, calls, map[string]int{"": 1, "p-1": 3})
	assert.Equal(t, client.PageCount(), 2)
}

func TestClient_ListFailsWhenThrottlingPersists(t *testing.T) {
	calls := 0
	client := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
		calls++
		if request.URL.Query().Get("pageToken") == "" {
			fmt.Fprint(writer, `{"instances":[{"id":"i-1"}],"nextToken":"p-1"}`)
			return
		}
		writer.WriteHeader(http.StatusTooManyRequests)
	})
	_, err := client.List(t.Context(), ListOptions{})
	assert.Assert(t, errors.Is(err, ErrThrottled))
	assert.Equal(t, calls, 2+maxThrottled)
}

func TestClient_ListReturnsErrThrottled(t *testing.T) {
	client := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTooManyRequests) })
	_, err := client.List(t.Context(), ListOptions{})
	assert.Assert(t, errors.Is(err, ErrThrottled))
}
