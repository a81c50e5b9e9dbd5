package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// configurationPath and drainPath are paths of the operators' API; the latter is followed by a zone.
const (
	configurationPath = "/ferryspar/config"
	drainPath         = "/ferryspar/drain-zone/"
)

// call sends one call on the configuration to a control plane and decodes the answer into target, which may be nil.
func (f *fleet) call(method, address, ifMatch string, body string, target any) (status int, err error) {
	return f.callPath(method, address, configurationPath, ifMatch, body, target)
}

// callPath sends one call of an operator to a control plane and decodes the answer into target, which may be nil.
func (f *fleet) callPath(method, address, path, ifMatch string, body string, target any) (status int, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", ifMatch)
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if target != nil && response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(target)
	}
	return response.StatusCode, err
}

const firstConfiguration = `{"revision":1,"routeTable":[
{"name":"once","hostname":"soak.example","pathPrefix":"/once/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":600,
"priority":1,"backend":"scribes","retryCount":1,"sticky":true,"resumable":false,"tokenGapMs":300},
{"name":"resumed","hostname":"soak.example","pathPrefix":"/resumed/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":8000,
"priority":0,"backend":"scribes","retryCount":3,"sticky":true,"resumable":true,"tokenGapMs":300},
{"name":"idempotent","hostname":"soak.example","pathPrefix":"/idempotent/","routeType":"idempotent","timeoutMs":20000,"targetLatencyMs":600,
"priority":2,"backend":"scribes","retryCount":2,"sticky":true}],
"backends":[{"name":"scribes","healthPath":"/healthz","maxConns":1900,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":200.0,
"runtime":{"slots":64,"kvCacheTokens":5000000,"kvTokenBytes":1000,"linkMbps":180000.0,"stepSize":3,"modelList":[{"name":"swift",
"weightSizeMb":100,"loadTimeS":1,"adapterList":0,"adapterSizeMb":1}],"weightSizeMb":1000,"adapterCapacity":8,"loadsPerS":1.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// configure sends the first configuration until it is acknowledged.
func (f *fleet) configure() error {
	return f.repeat(func(number int) error {
		status, err := f.call(http.MethodPut, f.controls[number%len(f.controls)].address, "0", firstConfiguration, nil)
		if err == nil && status != http.StatusOK {
			err = errors.Errorf("first configuration answered with %d", status)
		}
		f.revision = 1
		return err
	})
}

// repeat calls a function until it succeeds, for startTimeout at most.
func (f *fleet) repeat(attempt func(number int) error) error {
	deadline := time.Now().Add(startTimeout)
	for number := 0; ; number++ {
		err := attempt(number)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
