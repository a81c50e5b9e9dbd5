package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

const (
	// defaultMaxBodyBytes limits request bodies if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// firstBodyBuffer is the size of a body's first buffer, in bytes, which doubles as the body grows.
	firstBodyBuffer = 4 << 10
	// bodyMemoryRetryAfter is the Retry-After of requests whose bodies were rejected for want of memory.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// requestBody is a complete body with the function that gives its bytes back to the budget.
type requestBody struct {
	content []byte
	release func()
}

// readBody reads the whole body, up to the limit in bytes; a limit of 0 stands for defaultMaxBodyBytes. The body must be complete
// at the deadline.
func (h *Handler) readBody(request *http.Request, limit int64, deadline time.Time) (requestBody, error) {
	if request.ContentLength == 0 {
		return requestBody{release: func() {}}, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if request.ContentLength > limit {
		return requestBody{}, apierror.New(apierror.BodyTooLarge, "")
	}
	connection := connectionOf(request.Context())
	connection.setBodyDeadline(deadline)
	reader := h.bodies.open(h.clock(), connection.interruptBody)
	content, err := h.readAll(reader, request, limit)
	release, rejection := reader.close(err == nil)
	if err == nil && rejection == nil {
		connection.setBodyDeadline(time.Time{})
		return requestBody{content: content, release: release}, nil
	}
	// The server must not wait for the rest of the body before it sends the response.
	connection.interruptBody()
	if rejection != nil {
		return requestBody{}, rejection
	}
	return requestBody{}, bodyError(err)
}

// readAll reads a body into a buffer that grows as bytes arrive, whatever length was stated.
func (h *Handler) readAll(reader *bodyReader, request *http.Request, limit int64) ([]byte, error) {
	source := http.MaxBytesReader(nil, request.Body, limit)
	largest := limit + 1
	if request.ContentLength > 0 {
		largest = request.ContentLength + 1
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			size := min(max(2*int64(cap(content)), firstBodyBuffer), largest)
			if err := reader.reserve(size-int64(cap(content)), h.clock()); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, size), content...)
		}
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyError returns the error to answer with if a body could not be read.
func bodyError(err error) error {
	var known *apierror.Error
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &tooLarge):
		return apierror.New(apierror.BodyTooLarge, "")
	case errors.As(err, &timeout) && timeout.Timeout():
		return apierror.New(apierror.RequestTooSlow, "")
	default:
		return apierror.New(apierror.MalformedRequest, "body broke off")
	}
}

// connectionOf returns the connection of a request, or nil if it was not accepted by a LimitedListener.
func connectionOf(ctx context.Context) *clientConnection {
	connection, _ := ctx.Value(connectionKey{}).(*clientConnection)
	return connection
}
