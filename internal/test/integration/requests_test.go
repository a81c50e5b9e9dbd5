package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// reply is the answer to an HTTP call. broken means that the connection failed before the answer was complete.
type reply struct {
	status   int
	body     string
	header   http.Header
	broken   bool
	duration time.Duration
}

// call makes an HTTP call from a machine outside the fleet.
func (f *fleet) call(method, address, path, body string, header map[string]string) reply {
	began := time.Now()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := header["Host"]; host != "" {
		request.Host = host
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return reply{broken: true, duration: time.Since(began)}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, string(content), answer.Header, err != nil, time.Since(began)}
}

// putConfiguration replaces the configuration through a control-plane node if its version is ifMatch.
func (f *fleet) putConfiguration(core, ifMatch int, document string) reply {
	return f.call(
		http.MethodPut,
		coreHost(core)+":8166",
		"/ferryspar/config",
		document,
		map[string]string{"If-Match": fmt.Sprint(ifMatch)},
	)
}

// request sends an inference request to a data plane.
func (f *fleet) request(edge int, attempt, path, model string) reply {
	return f.requestWithin(20*time.Second, edge, attempt, path, model)
}

// requestWithin sends an inference request whose client waits for the given time to a data plane.
func (f *fleet) requestWithin(remaining time.Duration, edge int, attempt, path, model string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host": "shop.example", replica.HeaderAttemptID: attempt, replica.HeaderModel: model, replica.HeaderTokenCount: "100,20",
		replica.HeaderPromptPrefix: "aa:60,bb:40", replica.HeaderTimeRemaining: fmt.Sprint(remaining.Milliseconds()),
	})
}

// allEvents returns the complete body of a streamed answer.
func allEvents() string {
	var events strings.Builder
	for number := 1; number <= 5; number++ {
		fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", number, number)
	}
	return events.String()
}

func (f *fleet) requestWithPrefix(edge int, attempt, path, model, prefix string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host": "shop.example", replica.HeaderAttemptID: attempt, replica.HeaderModel: model, replica.HeaderTokenCount: "300,20",
		replica.HeaderPromptPrefix: prefix, replica.HeaderTimeRemaining: "20000",
	})
}

func (f *fleet) requestWithKey(edge int, key, path, model string) reply {
	header := map[string]string{
		"Host": "shop.example", replica.HeaderAttemptID: "attempt", replica.HeaderModel: model, replica.HeaderTokenCount: "100,20",
		replica.HeaderTimeRemaining: "20000", replica.HeaderTenant: "forged",
	}
	if key != "" {
		header[replica.HeaderAPIKey] = key
	}
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", header)
}

// requestWithUniquePrefix sends a request whose prompt prefix no replica has cached.
func (f *fleet) requestWithUniquePrefix(edge, number int, path string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host":                      "shop.example",
		replica.HeaderAttemptID:     fmt.Sprintf("attempt-%d", number),
		replica.HeaderModel:         "swift",
		replica.HeaderTokenCount:    "100,20",
		replica.HeaderPromptPrefix:  fmt.Sprintf("%x:100", time.Now().UnixNano()+int64(number)),
		replica.HeaderTimeRemaining: "20000",
	})
}
