package coordinationclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ferryspar/internal/coordinationapi"
)

// watchWait is how long a control plane may delay its answer to a watch.
const watchWait = 10 * time.Second

// Event is a put of a key.
type Event struct {
	Key      string
	Value    string
	Revision uint64
}

// Revision returns the current revision of a group. The group's name includes the dot.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	reply, err := c.watchOnce(ctx, group, 0, 0)
	return reply.Revision, err
}

// Watch calls handle with each put to a group after a revision above 0, in order and once each, until ctx ends or an error
// occurs. It returns ErrCompacted if the puts after the revision are no longer retained, the error of handle, or that of ctx, and
// the revision from which another Watch can continue.
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

// watchOnce makes a single watch call.
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
