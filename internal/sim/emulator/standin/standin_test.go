package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/replica"
)

func testBackend() configuration.Backend {
	return configuration.Backend{
		Name: "scribes",
		Runtime: &configuration.Runtime{
			Slots:           1,
			KvCacheTokens:   1000,
			WeightSizeMb:    210,
			AdapterCapacity: 1,
			LoadsPerS:       1,
			Models: []configuration.Model{{
				Name:          "swift",
				WeightSizeMb:  100,
				LoadTimeS:     1,
				Adapters:      2,
				AdapterSizeMb: 2,
			}, {
				Name:         "rare",
				WeightSizeMb: 100,
				LoadTimeS:    1,
			}, {
				Name:         "other",
				WeightSizeMb: 100,
				LoadTimeS:    1,
			}},
		},
	}
}

func newReplica(id string, references ...string) *Replica {
	return NewReplica(discovery.Replica{ID: id, Zone: "east"}, testBackend(), DefaultTiming(), references...)
}

func call(created *Replica, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	created.Routes("/healthz").ServeHTTP(answer, request)
	return answer
}

func order(created *Replica, operation, model, adapter string, fence int) int {
	body := fmt.Sprintf(
		`{"operation":%q,"modelId":%q,"adapterId":%q,"leaseHolder":"node","fenceToken":%d}`,
		operation,
		model,
		adapter,
		fence,
	)
	return call(created, http.MethodPost, "/ferryspar/order", body, nil).Code
}

func TestReplica_AnswersOrdersAsDocumented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		created := newReplica("r-1", "swift")
		assert.Equal(t, order(created, replica.OperationLoad, "rare", "", 5), http.StatusAccepted)
		assert.Equal(t, order(created, replica.OperationLoad, "swift", "a1", 5), http.StatusConflict)
		assert.Equal(t, order(created, replica.OperationLoad, "swift", "", 5), http.StatusOK)
		assert.Equal(t, order(created, replica.OperationLoad, "rare", "", 4), http.StatusPreconditionFailed)
		assert.Equal(t, order(created, replica.OperationLoad, "rare", "", 0), http.StatusBadRequest)
		assert.Equal(t, order(created, "model_dance", "rare", "", 5), http.StatusBadRequest)
		time.Sleep(1100 * time.Millisecond)
		var state replica.Report
		assert.NilError(t, json.Unmarshal(call(created, http.MethodGet, "/ferryspar/report", "", nil).Body.Bytes(), &state))
		assert.Equal(t, len(state.Models), 2)
		assert.Equal(t, state.Sequence, int64(1))
		assert.Equal(t, order(created, replica.OperationLoad, "other", "", 5), http.StatusBadRequest, "the model exceeds the capacity")
		assert.Equal(t, order(created, replica.OperationUnload, "swift", "", 5), http.StatusAccepted)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(created.Entry().Models), 1)
	})
}

func TestReplica_ServesOrProvesNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		created := newReplica("r-1", "swift")
		header := func(model, target string) map[string]string {
			return map[string]string{
				replica.HeaderAttemptID:     "try",
				replica.HeaderModel:         model,
				replica.HeaderTargetReplica: target,
				replica.HeaderTokenCount:    "100,4",
				replica.HeaderLastEventID:   "1",
			}
		}
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- call(created, http.MethodPost, "/any", "", header("swift", "r-1")) }()
		synctest.Wait()
		full := call(created, http.MethodPost, "/any", "", header("swift", "r-1"))
		assert.Equal(t, full.Code, http.StatusServiceUnavailable)
		assert.Assert(t, full.Header().Get(replica.HeaderNotExecuted) != "")
		served := <-done
		assert.Equal(t, served.Code, http.StatusOK)
		assert.Equal(t, strings.Count(served.Body.String(), "id:"), 3, "only events after the last one received must be sent")
		assert.Equal(t, served.Header().Get(replica.HeaderAttemptID), "try")
		assert.Assert(t, strings.HasPrefix(served.Header().Get(replica.HeaderSeal), "r-1."))
		assert.Equal(t, call(created, http.MethodPost, "/any", "", header("rare", "r-1")).Code, http.StatusMisdirectedRequest)
		assert.Equal(t, call(created, http.MethodPost, "/any", "", header("swift", "r-2")).Code, http.StatusMisdirectedRequest)
		assert.Equal(t, call(created, http.MethodGet, "/healthz", "", nil).Header().Get(replica.HeaderReplicaID), "r-1")
	})
}

func TestPlatform_ListIsReadCompletely(t *testing.T) {
	list := &List{PageSize: 2, Replicas: []*Replica{newReplica("r-1"), newReplica("r-2"), newReplica("r-3")}}
	server := httptest.NewServer(list)
	defer server.Close()
	reader := &discovery.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTPClient: server.Client()}
	read, err := reader.List(t.Context(), discovery.ListOptions{})
	assert.NilError(t, err)
	assert.Equal(t, len(read), 3)
	assert.Equal(t, read[2].ID, "r-3")
}
