package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	copyBufferSize   = 4 << 10
	progressInterval = 250 * time.Millisecond
)

// notExecutedStatuses are the statuses that tell a client that its request has not run and never will. From a replica they are
// passed on only with its proof, which Forwarder.Send has judged; here they come without one.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

func (e *exchange) copyResponse(response *http.Response, report func(routing.Outcome)) (bool, *apierror.Error) {
	defer response.Body.Close()
	if notExecutedStatuses[response.StatusCode] || response.StatusCode >= 300 && e.headerSent {
		report(routing.OutcomeFailed)
		e.mayHaveRun = true
		return e.retryOrFail(false)
	}
	if isServerFailure(response) && e.parsed.route.IsIdempotent() && e.canRetry() {
		report(routing.OutcomeFailed)
		e.mayHaveRun = true
		return true, nil
	}
	resumable := e.parsed.route.RouteType == "streaming" && e.parsed.route.Resumable && response.StatusCode < 300 &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if e.headerSent && !resumable {
		report(routing.OutcomeFailed)
		e.mayHaveRun = true
		return e.retryOrFail(false)
	}
	first, lagging, lastTold := true, false, time.Time{}
	buffer := make([]byte, copyBufferSize)
	for {
		amount, err := response.Body.Read(buffer)
		if amount > 0 {
			now := e.handler.clock()
			gap := e.recordRead(now)
			if !first && !lagging && e.exceedsTokenGap(gap) {
				lagging = true
				report(routing.OutcomeStalled)
			}
			if first {
				report(routing.OutcomeFirstEvent)
				first, lastTold = false, now
			} else if now.Sub(lastTold) > progressInterval {
				report(routing.OutcomeProgress)
				lastTold = now
			}
			if !e.writeContent(response, buffer[:amount], resumable) {
				report(routing.OutcomeCancelled)
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return e.finish(response, report, resumable)
		}
		if err != nil {
			return e.handleBrokenBody(report, resumable)
		}
	}
}

func isServerFailure(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
}

func (e *exchange) exceedsTokenGap(gap time.Duration) bool {
	bound := e.parsed.route.TokenGapMs
	return bound > 0 && float64(gap.Milliseconds()) > bound
}

func (e *exchange) recordRead(now time.Time) time.Duration {
	if e.firstByteAt.IsZero() {
		e.firstByteAt, e.lastByteAt = now, now
	}
	gap := now.Sub(e.lastByteAt)
	e.longestGap, e.lastByteAt = max(e.longestGap, gap), now
	return gap
}

func (e *exchange) writeHeader(response *http.Response) {
	if e.headerSent {
		return
	}
	e.headerSent = true
	replica.CopyResponseHeader(e.writer.Header(), response.Header)
	if e.handler.Draining() {
		e.writer.Header().Set("Connection", "close")
	}
	if _, stated := response.Header["Content-Length"]; stated && response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	if _, dated := e.writer.Header()["Date"]; !dated {
		e.writer.Header()["Date"] = nil
	}
	if _, typed := e.writer.Header()["Content-Type"]; !typed {
		e.writer.Header()["Content-Type"] = nil
	}
	e.writer.WriteHeader(response.StatusCode)
}

func (e *exchange) writeContent(response *http.Response, content []byte, resumable bool) bool {
	if resumable {
		events, valid := e.events.Feed(content)
		if !valid {
			return false
		}
		content = events
	}
	if len(content) == 0 {
		return true
	}
	e.writeHeader(response)
	if _, err := e.writer.Write(content); err != nil {
		return false
	}
	return http.NewResponseController(e.writer).Flush() == nil
}

func (e *exchange) finish(response *http.Response, report func(routing.Outcome), resumable bool) (bool, *apierror.Error) {
	if resumable && !e.events.Complete() {
		return e.handleBrokenBody(report, resumable)
	}
	e.writeHeader(response)
	if response.StatusCode < 300 {
		report(routing.OutcomeServed)
	} else if isServerFailure(response) {
		report(routing.OutcomeFailed)
	} else {
		report(routing.OutcomeCancelled)
	}
	return false, nil
}

func (e *exchange) handleBrokenBody(report func(routing.Outcome), resumable bool) (bool, *apierror.Error) {
	if e.ctx.Err() != nil {
		report(routing.OutcomeCancelled)
		if e.headerSent {
			panic(http.ErrAbortHandler)
		}
		return false, apierror.New(apierror.ReplicaTimeout, "")
	}
	report(routing.OutcomeTruncated)
	e.mayHaveRun = true
	e.events.Resume()
	if e.headerSent && !(resumable && e.events.LastID != "") {
		panic(http.ErrAbortHandler)
	}
	return e.retryOrFail(false)
}
