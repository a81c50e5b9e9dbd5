package demo

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout is how long the data planes may take to become ready.
	readyTimeout = 15 * time.Second
	// readyPollInterval is the interval between readiness checks.
	readyPollInterval = 50 * time.Millisecond
)

// awaitReady waits until every data plane is ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range d.ready {
		for !isReady(bounded, address) {
			select {
			case <-bounded.Done():
				return d.addChildLogs(errors.Errorf("data plane %s did not become ready in time", address))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// isReady reports whether a data plane responds that it is ready.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ferryspar/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
