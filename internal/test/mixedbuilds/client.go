package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	attemptTimeout = 2 * time.Second
	callTimeout    = 20 * time.Second
	streamTimeout  = 20 * time.Second
)

// errNoClearAnswer is returned when no control plane gave a clear answer: the call may have taken effect.
var errNoClearAnswer = errors.New("no clear answer")

// response is a clear answer of a control plane.
type response struct {
	status int
	body   []byte
}

// field returns a member of the body as text.
func (r response) field(name string) string {
	var members map[string]json.RawMessage
	if json.Unmarshal(r.body, &members) != nil {
		return ""
	}
	return strings.Trim(string(members[name]), `"`)
}

// number returns a member of the body as a number, 0 if there is none.
func (r response) number(name string) uint64 {
	var number uint64
	_ = json.Unmarshal([]byte(r.field(name)), &number)
	return number
}

// call sends a call to the control planes in turn until one answers clearly. version is the version that a change of the
// configuration builds on, or empty.
func (f *fleet) call(method, path, version, body string) (response, error) {
	client := &http.Client{Timeout: attemptTimeout}
	deadline := time.Now().Add(callTimeout)
	for attempt := 0; time.Now().Before(deadline) && (attempt == 0 || !f.isDown.Load()); attempt++ {
		address := f.controls[attempt%len(f.controls)]
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
		if err != nil {
			return response{}, err
		}
		if version != "" {
			request.Header.Set("If-Match", version)
		}
		answer, err := client.Do(request)
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		content, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err == nil && answer.StatusCode < http.StatusInternalServerError && answer.StatusCode != http.StatusTooManyRequests {
			return response{answer.StatusCode, content}, nil
		}
		time.Sleep(pollInterval)
	}
	return response{}, errors.Wrapf(errNoClearAnswer, "%s %s", method, path)
}

// want sends a call that must be answered with the status.
func (f *fleet) want(status int, method, path, version, body string) (response, error) {
	got, err := f.call(method, path, version, body)
	if err == nil && got.status != status {
		err = errors.Errorf("%s %s answered with %d, not %d: %s", method, path, got.status, status, got.body)
	}
	return got, err
}

// attempts numbers the requests of clients.
var attempts atomic.Uint64

// stream sends a request to a data plane and returns how many events came.
func (f *fleet) stream(edge, key string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+edge+"/quick/ask", strings.NewReader("say something"))
	if err != nil {
		return 0, err
	}
	request.Host = "demo.example"
	for name, value := range map[string]string{
		"Ferryspar-Attempt-Id":     fmt.Sprintf("mixed-%d", attempts.Add(1)),
		"Ferryspar-Model":          "swift",
		"Ferryspar-Prompt-Prefix":  "a1:600,01:300",
		"Ferryspar-Token-Count":    "900,8",
		"Ferryspar-Time-Remaining": "15000",
		"X-Api-Key":                key,
	} {
		request.Header.Set(name, value)
	}
	answer, err := (&http.Client{Timeout: streamTimeout}).Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if answer.StatusCode != http.StatusOK {
		return 0, errors.Errorf("answered with %d: %s", answer.StatusCode, content)
	}
	return strings.Count(string(content), "id:"), err
}
