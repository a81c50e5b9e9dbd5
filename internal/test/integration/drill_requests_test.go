package integration

import (
	"encoding/json"
	"net/http"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
)

func (f *fleet) postRehearsal(core int, request drill.Request) (reply, drill.Forecast) {
	body, _ := json.Marshal(request)
	got := f.call(http.MethodPost, coreHost(core)+":8166", "/ferryspar/rehearsal", string(body), nil)
	var forecast drill.Forecast
	_ = json.Unmarshal([]byte(got.body), &forecast)
	return got, forecast
}

var southDrill = drill.Request{Kind: drill.KindDrill, Scope: drill.Scope{Zone: "south"}, Share: 1, DurationMs: 8000}

func (f *fleet) postDrill(core int, request drill.Request) (drill.Status, int) {
	got, _ := f.postRehearsal(core, request)
	return readStatus(got), got.status
}

func (f *fleet) startDrill(core int, request drill.Request) drill.Status {
	started, status := f.postDrill(core, request)
	assert.Equal(f.t, status, http.StatusOK)
	return started
}

func (f *fleet) drillStatus(core int, method string) drill.Status {
	got := f.call(method, coreHost(core)+":8166", "/ferryspar/rehearsal", "", nil)
	assert.Equal(f.t, got.status, http.StatusOK, got.body)
	return readStatus(got)
}

func readStatus(got reply) drill.Status {
	var status drill.Status
	_ = json.Unmarshal([]byte(got.body), &status)
	return status
}

func longDrill() drill.Request {
	request := southDrill
	request.DurationMs = 60000
	return request
}
