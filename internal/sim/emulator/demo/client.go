package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ferryspar/internal/replica"
)

// StreamResult is the result of one stream as its client saw it.
type StreamResult struct {
	Number    int    `json:"number"`
	DataPlane string `json:"dataPlane"`
	Path      string `json:"path"`
	Model     string `json:"model"`
	Status    int    `json:"status"`
	// Replica is the replica ID in the response's seal.
	Replica      string  `json:"replica"`
	FirstEventMs float64 `json:"firstEventMs"`
	DurationMs   float64 `json:"tookMs"`
	Events       int     `json:"events"`
	Expected     int     `json:"expectedEvents"`
	Complete     bool    `json:"whole"`
	Error        string  `json:"problem,omitempty"`
}

// streamTimeout is the time limit of a stream.
const streamTimeout = 30 * time.Second

// milliseconds converts a duration to milliseconds with microsecond resolution.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// headers returns the request headers of a stream.
func headers(request stream, attempt string) map[string]string {
	return map[string]string{
		replica.HeaderAttemptID:     attempt,
		replica.HeaderModel:         request.Model,
		replica.HeaderPromptPrefix:  request.Prefix,
		replica.HeaderTokenCount:    fmt.Sprintf("%.0f,%d", request.Prompt, request.Output),
		replica.HeaderTimeRemaining: "15000",
	}
}

// sendRequest sends one request and reads its stream to the end. A failure is recorded in the result.
func sendRequest(ctx context.Context, client *http.Client, number int, address, host string, planned stream) StreamResult {
	result := StreamResult{
		Number:    number,
		DataPlane: address,
		Path:      planned.Path,
		Model:     planned.Model,
		Expected:  planned.Output,
	}
	bounded, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	url := "http://" + address + planned.Path
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, url, strings.NewReader("say something"))
	if err != nil {
		result.Error = err.Error()
		return result
	}
	request.Host = host
	for name, value := range headers(planned, fmt.Sprintf("demo-%d", number)) {
		request.Header.Set(name, value)
	}
	start := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	defer answer.Body.Close()
	result.Status = answer.StatusCode
	result.Replica, _, _ = strings.Cut(answer.Header.Get(replica.HeaderSeal), ".")
	result.readStream(answer.Body, start)
	return result
}

// readStream counts the events of the response body until it ends. If the status is not 200, the first line
// of the body becomes the error.
func (s *StreamResult) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			if s.Events == 0 {
				s.FirstEventMs = milliseconds(time.Since(start))
			}
			s.Events++
		} else if s.Status != http.StatusOK && s.Error == "" {
			s.Error = lines.Text()
		}
	}
	s.DurationMs = milliseconds(time.Since(start))
	if lines.Err() != nil {
		s.Error = lines.Err().Error()
	}
	s.Complete = s.Status == http.StatusOK && s.Events == s.Expected && s.Error == ""
}
