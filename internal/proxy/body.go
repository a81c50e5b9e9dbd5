package proxy

import (
	"context"
	"net/http"
	"time"

	"ferryspar/internal/bodybudget"
)

// defaultMaxBodyBytes limits request bodies if the configuration states no limit.
const defaultMaxBodyBytes = 4 << 20

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
	content, release, err := h.bodies.Read(request.Body, bodybudget.Options{
		StatedLength: request.ContentLength,
		Limit:        limit,
		Deadline:     deadline,
		Connection:   bodyReads{connectionOf(request.Context())},
	})
	if err != nil {
		return requestBody{}, bodybudget.ResponseTo(err)
	}
	return requestBody{content: content, release: release}, nil
}

// connectionOf returns the connection of a request, or nil if it was not accepted by a LimitedListener.
func connectionOf(ctx context.Context) *clientConnection {
	connection, _ := ctx.Value(connectionKey{}).(*clientConnection)
	return connection
}
