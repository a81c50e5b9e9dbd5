package discovery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestReplica_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"replica":    new(Replica),
		"held model": new(LoadedModel),
		"page":       new(Page),
	})
}

func TestList_PathsStayTheSame(t *testing.T) {
	var requested []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requested = append(requested, request.Method+" "+request.URL.String())
		body := `{"instances":[]}`
		if len(requested) == 1 {
			body = `{"instances":[],"nextToken":"2&"}`
		}
		_, _ = writer.Write([]byte(body))
	}))
	defer server.Close()
	client := &Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTPClient: server.Client()}
	_, err := client.List(t.Context(), ListOptions{})
	assert.NilError(t, err)
	pinned.CheckJSON(t, "testdata/paths.json", requested)
}
