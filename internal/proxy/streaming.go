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
	// copyBufferSize is how many bytes of a response are passed on at once.
	copyBufferSize = 4 << 10
	// progressInterval is how often it is reported to the matcher that a response goes on.
	progressInterval = 250 * time.Millisecond
	// eventStream is the content type of a stream that may be resumed.
	eventStream = "text/event-stream"
	// routeTypeStreaming is the type of the routes whose responses are streams.
	routeTypeStreaming = "streaming"
)

// notExecutedStatuses are the statuses that tell a client that its request has not run and never will. From a replica they
// are passed on only with its proof, which Forwarder.Send has judged; here they come without one.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// streamProgress is what has been reported to the matcher of one response.
type streamProgress struct {
	started      bool
	lagging      bool
	lastReported time.Time
}

// copyResponse passes a response on as it arrives. The error is errRetry or of package apierror.
func (e *exchange) copyResponse(ctx context.Context, response *http.Response) error {
	defer response.Body.Close()
	resumable := e.resumable(response)
	if !e.passable(response, resumable) {
		e.report(routing.OutcomeFailed)
		e.mayHaveRun = true
		return e.retryOrFail(false)
	}
	if isServerFailure(response) && e.parsed.route.IsIdempotent() && e.canRetry() {
		e.report(routing.OutcomeFailed)
		e.mayHaveRun = true
		return errRetry
	}
	var progress streamProgress
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			e.reportProgress(&progress)
			if isSuccess(response) {
				e.countBegun()
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
			return e.handleBrokenBody(ctx, resumable)
		}
	}
}

// resumable reports whether the response may be continued by another replica if it breaks off.
func (e *exchange) resumable(response *http.Response) bool {
	route := e.parsed.route
	return route.RouteType == routeTypeStreaming && route.Resumable && isSuccess(response) &&
		strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
}

// passable reports whether the client may get the response: a promise that nothing has run needs a proof, and after a head
// has been sent only the continuation of its stream may follow.
func (e *exchange) passable(response *http.Response, resumable bool) bool {
	return !notExecutedStatuses[response.StatusCode] && (!e.headerSent || resumable)
}

func isSuccess(response *http.Response) bool { return response.StatusCode < http.StatusMultipleChoices }

// isServerFailure reports whether the replica failed, rather than that it ran out of time.
func isServerFailure(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
}

// reportProgress reports to the matcher the first bytes, of a gap that is too long, and now and then that there are more.
func (e *exchange) reportProgress(progress *streamProgress) {
	now := e.handler.clock()
	gap := e.timing.recordRead(now)
	if progress.started && !progress.lagging && e.exceedsTokenGap(gap) {
		progress.lagging = true
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

// exceedsTokenGap reports whether the route calls a gap in the stream too long.
func (e *exchange) exceedsTokenGap(gap time.Duration) bool {
	limit := e.parsed.route.TokenGapMs
	return limit > 0 && float64(gap.Milliseconds()) > limit
}

// recordRead records that bytes came, and returns how long after the ones before.
func (t *timing) recordRead(now time.Time) time.Duration {
	if t.firstByteAt.IsZero() {
		t.firstByteAt, t.lastByteAt = now, now
	}
	gap := now.Sub(t.lastByteAt)
	t.longestGap, t.lastByteAt = max(t.longestGap, gap), now
	return gap
}

// writeHeader sends the client the head of the first response that is passed on.
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

// hasContentLength reports whether the client is to see the length that the replica stated.
func hasContentLength(response *http.Response) bool {
	_, stated := response.Header["Content-Length"]
	return stated && response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent
}

// writeContent passes bytes of a body on, of a resumable stream only complete events; false says that the client has gone
// or that the stream can't be resumed.
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

// finish ends a response whose body is complete.
func (e *exchange) finish(ctx context.Context, response *http.Response, resumable bool) error {
	if resumable && !e.events.Complete() {
		return e.handleBrokenBody(ctx, resumable)
	}
	e.writeHeader(response)
	switch {
	case isSuccess(response):
		e.report(routing.OutcomeServed)
	case isServerFailure(response):
		e.report(routing.OutcomeFailed)
	default:
		e.report(routing.OutcomeCancelled)
	}
	return nil
}

// handleBrokenBody decides what follows a body that broke off. Where the client has part of it and the stream can't be
// resumed, it panics with http.ErrAbortHandler, so that the part never looks complete.
func (e *exchange) handleBrokenBody(ctx context.Context, resumable bool) error {
	if ctx.Err() != nil {
		e.report(routing.OutcomeCancelled)
		if e.headerSent {
			panic(http.ErrAbortHandler)
		}
		return apierror.New(apierror.ReplicaTimeout, "")
	}
	e.report(routing.OutcomeTruncated)
	e.mayHaveRun = true
	e.events.Resume()
	if e.headerSent && (!resumable || e.events.LastID == "") {
		panic(http.ErrAbortHandler)
	}
	return e.retryOrFail(false)
}
