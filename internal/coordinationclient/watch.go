package coordinationclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ferryspar/internal/coordinationapi"
)

// watchWait is how long a control plane keeps a watch pending.
const watchWait = 10 * time.Second

// Event is one put of a key.
type Event struct {
	Key      string
	Value    string
	Revision uint64
}

// Revision reads the present revision of a group, named with its dot.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	reply, err := c.watchOnce(ctx, group, 0, 0)
	return reply.Revision, err
}

// Watch calls handle with each put of a group after a revision above 0, in order, each once, until ctx ends or an error comes. The
// error is ErrCompacted if the puts after the revision are no longer kept, that of handle, or the context's. It returns the revision
// from which a further watch goes on.
func (c *Client) Watch(ctx context.Context, group string, after uint64, handle func(event Event) error) (uint64, error) {
	for {
		reply, err := c.watchOnce(ctx, group, after, watchWait)
		if ctx.Err() != nil {
			return after, ctx.Err()
		}
		if err != nil {
			return after, err
		}
		for _, event := range reply.Events {
			if err := handle(Event{Key: event.Name, Value: event.Value, Revision: event.Revision}); err != nil {
				return after, err
			}
			after = event.Revision
		}
		after = max(after, reply.Revision)
	}
}

// watchOnce makes one call.
func (c *Client) watchOnce(ctx context.Context, group string, after uint64, wait time.Duration) (coordinationapi.WatchReply, error) {
	var reply coordinationapi.WatchReply
	received, err := c.call(ctx, request{
		method: http.MethodGet,
		path:   fmt.Sprintf("%s%s?after=%d&waitMs=%d", coordinationapi.PathWatch, url.PathEscape(group), after, wait.Milliseconds()),
		wait:   wait,
	})
	if err != nil {
		return reply, err
	}
	err = received.decode(&reply, map[int]error{http.StatusGone: ErrCompacted})
	return reply, err
}
