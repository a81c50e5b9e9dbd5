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
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked = append(asked, request.Method+" "+request.URL.String())
		body := `{"instances":[]}`
		if len(asked) == 1 {
			body = `{"instances":[],"nextToken":"2&"}`
		}
		_, _ = writer.Write([]byte(body))
	}))
	defer server.Close()
	list := &Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTPClient: server.Client()}
	_, err := list.List(t.Context(), ListOptions{})
	assert.NilError(t, err)
	pinned.CheckJSON(t, "testdata/paths.json", asked)
}
