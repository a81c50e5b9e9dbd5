package bodybudget

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
)

// rejectedRetryAfter is the Retry-After of requests that were rejected for want of memory.
const rejectedRetryAfter = 500 * time.Millisecond

// Handler returns a handler that passes on requests once their bodies are complete. All bodies together stay within the budget. A
// body may take that much time, and up to limit bytes. Other requests are answered with an error of package apierror, and their
// connections closed.
func Handler(next http.Handler, budget *Budget, limit int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			next.ServeHTTP(writer, request)
			return
		}
		content, release, err := budget.Read(request.Body, Options{
			StatedLength: request.ContentLength,
			Limit:        limit,
			Deadline:     time.Now().Add(timeout),
			Connection:   http.NewResponseController(writer),
		})
		if err != nil {
			writer.Header().Set("Connection", "close")
			apierror.Write(writer, ResponseTo(err))
			return
		}
		defer release()
		request.Body = io.NopCloser(bytes.NewReader(content))
		next.ServeHTTP(writer, request)
	})
}

// ResponseTo returns the error to answer with if a body could not be read.
func ResponseTo(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, ErrExhausted):
		return apierror.NewRetryable(apierror.BodyMemoryExceeded, rejectedRetryAfter)
	case errors.Is(err, ErrTooLarge):
		return apierror.New(apierror.BodyTooLarge, "")
	case errors.As(err, &timeout) && timeout.Timeout():
		return apierror.New(apierror.RequestTooSlow, "")
	default:
		return apierror.New(apierror.MalformedRequest, "body broke off")
	}
}
