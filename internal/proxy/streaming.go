package proxy

import (
	"context"
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
	// copyBufferSize is the size of the buffer that responses are copied through, in bytes.
	copyBufferSize = 4 << 10
	// progressInterval is the minimum interval between progress reports to the matcher.
	progressInterval = 250 * time.Millisecond
	// eventStream is the content type of streams that may be resumed.
	eventStream = "text/event-stream"
	// routeTypeStreaming is the type of routes whose responses are streams.
	routeTypeStreaming = "streaming"
)

// notExecutedStatuses are the statuses that guarantee to a client that its request was not executed and never will be.
// Responses that prove this have another verdict than VerdictAnswered (see replica.Forwarder.Send), so an answered response
// with such a status lacks the proof and must not be passed on.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// streamProgress tracks what was reported to the matcher about one response.
type streamProgress struct {
	started      bool
	stalled      bool
	lastReported time.Time
}

// copyResponse passes a response on to the client as it arrives. The error is errRetry or of package apierror.
func (e *exchange) copyResponse(ctx context.Context, response *http.Response) error {
	defer response.Body.Close()
	resumable := e.isResumable(response)
	if !e.isForwardable(response, resumable) {
		e.report(routing.OutcomeFailed)
		e.mayHaveExecuted = true
		return e.retryOrFail(false)
	}
	if isServerFailure(response) && e.parsed.route.IsIdempotent() && e.canRetry() {
		e.report(routing.OutcomeFailed)
		e.mayHaveExecuted = true
		return errRetry
	}
	var progress streamProgress
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			e.reportProgress(&progress)
			if isSuccess(response) {
				e.recordUsage()
			}
			if !e.writeContent(response, buffer[:count], resumable) {
				e.report(routing.OutcomeCancelled)
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return e.finish(ctx, response, resumable)
		}
		if err != nil {
			return e.handleTruncatedBody(ctx, resumable)
		}
	}
}

// isResumable reports whether another replica may continue the response if it is truncated.
func (e *exchange) isResumable(response *http.Response) bool {
	route := e.parsed.route
	return route.RouteType == routeTypeStreaming && route.Resumable && isSuccess(response) &&
		strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
}

// isForwardable reports whether the response may be passed on: it must not claim without proof that nothing was executed, and
// once the header was sent it must continue the stream.
func (e *exchange) isForwardable(response *http.Response, resumable bool) bool {
	return !notExecutedStatuses[response.StatusCode] && (!e.headerSent || resumable)
}

func isSuccess(response *http.Response) bool { return response.StatusCode < http.StatusMultipleChoices }

// isServerFailure reports whether the replica failed, other than by a timeout.
func isServerFailure(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
}

// reportProgress reports the first bytes to the matcher, the first gap that is too long, and further bytes at most once per
// progressInterval.
func (e *exchange) reportProgress(progress *streamProgress) {
	now := e.handler.clock()
	gap := e.timing.recordRead(now)
	if progress.started && !progress.stalled && e.exceedsTokenGap(gap) {
		progress.stalled = true
		e.report(routing.OutcomeStalled)
	}
	if !progress.started {
		e.report(routing.OutcomeFirstEvent)
		progress.started, progress.lastReported = true, now
	} else if now.Sub(progress.lastReported) > progressInterval {
		e.report(routing.OutcomeProgress)
		progress.lastReported = now
	}
}

// exceedsTokenGap reports whether a gap in the stream exceeds the route's limit.
func (e *exchange) exceedsTokenGap(gap time.Duration) bool {
	limit := e.parsed.route.TokenGapMs
	return limit > 0 && float64(gap.Milliseconds()) > limit
}

// recordRead records that bytes arrived and returns the time since the previous ones.
func (t *timing) recordRead(now time.Time) time.Duration {
	if t.firstByteAt.IsZero() {
		t.firstByteAt, t.lastByteAt = now, now
	}
	gap := now.Sub(t.lastByteAt)
	t.longestGap, t.lastByteAt = max(t.longestGap, gap), now
	return gap
}

// writeHeader sends the response header to the client, unless it was sent before.
func (e *exchange) writeHeader(response *http.Response) {
	if e.headerSent {
		return
	}
	e.headerSent = true
	header := e.writer.Header()
	replica.CopyResponseHeader(header, response.Header)
	if e.handler.Draining() {
		header.Set("Connection", "close")
	}
	if hasContentLength(response) {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	// A nil value keeps the server from adding a header that the replica didn't send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, stated := header[name]; !stated {
			header[name] = nil
		}
	}
	e.writer.WriteHeader(response.StatusCode)
}

// hasContentLength reports whether the length that the replica stated is passed on to the client.
func hasContentLength(response *http.Response) bool {
	_, stated := response.Header["Content-Length"]
	return stated && response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent
}

// writeContent passes bytes of a body on; of a resumable stream it passes on only complete events. It returns false if the
// client has left or the stream is invalid (see replica.EventBuffer.Feed).
func (e *exchange) writeContent(response *http.Response, content []byte, resumable bool) bool {
	if resumable {
		complete, valid := e.events.Feed(content)
		if !valid {
			return false
		}
		content = complete
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

// finish completes a response whose body was read to its end.
func (e *exchange) finish(ctx context.Context, response *http.Response, resumable bool) error {
	if resumable && !e.events.Complete() {
		return e.handleTruncatedBody(ctx, resumable)
	}
	e.writeHeader(response)
	switch {
	case isSuccess(response):
		e.report(routing.OutcomeServed)
		e.learnCompletion()
	case isServerFailure(response):
		e.report(routing.OutcomeFailed)
	default:
		e.report(routing.OutcomeCancelled)
	}
	return nil
}

// handleTruncatedBody handles a body that ended early: it returns the error that decides on a retry. If the client has received
// part of the body and the stream cannot be resumed, it panics with http.ErrAbortHandler, so that the part never looks complete.
func (e *exchange) handleTruncatedBody(ctx context.Context, resumable bool) error {
	if ctx.Err() != nil {
		e.report(routing.OutcomeCancelled)
		if e.headerSent {
			panic(http.ErrAbortHandler)
		}
		return apierror.New(apierror.ReplicaTimeout, "")
	}
	e.report(routing.OutcomeTruncated)
	e.mayHaveExecuted = true
	e.events.Resume()
	if e.headerSent && (!resumable || e.events.LastID == "") {
		panic(http.ErrAbortHandler)
	}
	return e.retryOrFail(false)
}
