package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func standIn(t *testing.T, handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestGivenDaemonsThatFailOrPointElsewhereThenTheCallReachesOneThatAnswers(t *testing.T) {
	seen := []string{}
	good := standIn(t, func(writer http.ResponseWriter, request *http.Request) {
		seen = append(seen, request.Method+" "+request.URL.Path+" "+request.Header.Get("If-Match"))
		_, _ = writer.Write([]byte("{}"))
	})
	busy := standIn(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	pointing := standIn(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Location", "http://"+good+request.URL.Path)
		writer.WriteHeader(http.StatusTemporaryRedirect)
	})
	caller := &Caller{Addresses: []string{"127.0.0.1:1", busy, pointing}, Client: NewClient(), Patience: time.Second, Bound: 5 * time.Second}
	outcome, err := caller.Call(context.Background(), http.MethodPut, "/ferryspar/config", "4", []byte("{}"))
	assert.NilError(t, err)
	assert.Equal(t, outcome.Status, http.StatusOK)
	assert.DeepEqual(t, seen, []string{"PUT /ferryspar/config 4"})
}

func TestGivenARefusalThenItIsFinal(t *testing.T) {
	asked := 0
	refusing := standIn(t, func(writer http.ResponseWriter, request *http.Request) {
		asked++
		writer.WriteHeader(http.StatusPreconditionFailed)
	})
	caller := &Caller{Addresses: []string{refusing}, Client: NewClient(), Patience: time.Second, Bound: 5 * time.Second}
	outcome, err := caller.Call(context.Background(), http.MethodPut, "/", "1", nil)
	assert.NilError(t, err)
	assert.Equal(t, outcome.Status, http.StatusPreconditionFailed)
	assert.Equal(t, asked, 1)
}

func TestGivenNobodyAnswersThenTheReasonIsSaid(t *testing.T) {
	caller := &Caller{Addresses: []string{"127.0.0.1:1"}, Client: NewClient(), Patience: time.Second, Bound: 300 * time.Millisecond}
	_, err := caller.Call(context.Background(), http.MethodGet, "/", "", nil)
	assert.ErrorContains(t, err, "no clear answer in time")
	_, err = (&Caller{Bound: time.Second}).Call(context.Background(), http.MethodGet, "/", "", nil)
	assert.ErrorContains(t, err, "no control daemon named")
}
