// Package discovery reads the platform's list of replicas, page by page, and merges readings that were
// made while the list changed. Reading changes nothing, so it may be repeated; a list counts only if every
// page of it was read completely.
//
// It doesn't decide how often the list is read, nor what is done with it (internal/controlplane/roster).
// Start reading at Client.List and Merger.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// Client reads the list at an address (host:port). It is used by one goroutine at a time.
type Client struct {
	Address    string
	HTTPClient *http.Client

	pageCount int
}

// BurstPages is how many pages of a list are read without a pause: short lists are read at once.
const BurstPages = 4

// ListOptions say how the list is read. The zero value reads it to its end, one page after the other.
type ListOptions struct {
	// MaxPages is how many pages the list may have to be read to its end, any number for 0.
	MaxPages int
	// PagesPerSecond bounds how fast the pages after the first ones (BurstPages) are read: the platform rejects calls over its
	// rate, and a list of which a page is missing does not count. 0 sets no bound.
	PagesPerSecond float64
	// OnPage, if set, is called with the entries of each page as soon as it is read.
	OnPage func(entries []Replica)
}

// dueAfter is how long after the start of a read the page of an index may be asked for.
func (o ListOptions) dueAfter(index int) time.Duration {
	if o.PagesPerSecond <= 0 {
		return 0
	}
	return MinListDuration(o.PagesPerSecond, index+1)
}

// MinListDuration is how long a paced read of so many pages takes at least.
func MinListDuration(pagesPerSecond float64, pages int) time.Duration {
	return time.Duration(float64(max(pages-BurstPages, 0)) / pagesPerSecond * float64(time.Second))
}

// PageCount is how many pages the last complete list had, one at least: each counts as a call to the platform.
func (c *Client) PageCount() int { return max(c.pageCount, 1) }

// ErrThrottled is returned when the platform rejects a read since its rate limit is exceeded.
var ErrThrottled = errors.New("platform list: over the rate")

// ErrPageLimit is returned for a list that is longer than the read may take.
var ErrPageLimit = errors.New("platform list: longer than the limit of the read")

// ErrTooManyPages is returned for a list that does not end.
var ErrTooManyPages = errors.New("platform list: pages without end")

const (
	// pageTimeout is how long one page may take, listTimeout how long all of them beside the pauses between them: a list of sixty
	// pages takes a second while a small machine starts, and a read that is given up has to be begun anew.
	pageTimeout = 900 * time.Millisecond
	listTimeout = 4 * time.Second
	maxPages    = 200
	// throttlePause is the pause before a page that was rejected over the rate is asked for again, maxThrottled how often that
	// may happen within a list. Several pauses of many pages are cheaper than to read the pages before it again.
	throttlePause = 120 * time.Millisecond
	maxThrottled  = 6
)

// List returns the complete list, or an error if any page of it failed: ErrThrottled, ErrTooManyPages, ErrPageLimit, or
// that of the call.
func (c *Client) List(ctx context.Context, options ListOptions) ([]Replica, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout+options.dueAfter(c.pageCount))
	defer cancel()
	var replicas []Replica
	token, throttled := "", 0
	startedAt := time.Now()
	for index := 0; index < maxPages; index++ {
		if options.MaxPages > 0 && index >= options.MaxPages {
			c.pageCount = index + 1
			return nil, ErrPageLimit
		}
		if !pause(bounded, time.Until(startedAt.Add(options.dueAfter(index)))) {
			return nil, bounded.Err()
		}
		page, err := c.fetchPage(bounded, token)
		if errors.Is(err, ErrThrottled) && index > 0 && throttled < maxThrottled && pause(bounded, throttlePause) {
			throttled++
			index--
			continue
		}
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, page.Instances...)
		if options.OnPage != nil {
			options.OnPage(page.Instances)
		}
		if page.NextToken == nil || *page.NextToken == "" {
			c.pageCount = index + 1
			return replicas, nil
		}
		token = *page.NextToken
	}
	return nil, ErrTooManyPages
}

// pause waits before a page is asked for, and returns false if the context ended first.
func pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchPage reads the page of a token, the first one for "".
func (c *Client) fetchPage(ctx context.Context, token string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var page Page
	target := url.URL{Scheme: "http", Host: c.Address, Path: "/replicas"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return page, err
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return page, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return page, err
	}
	if response.StatusCode == http.StatusTooManyRequests {
		return page, ErrThrottled
	}
	if response.StatusCode != http.StatusOK {
		return page, errors.Errorf("platform list at %s: status %d", c.Address, response.StatusCode)
	}
	return page, errors.Wrapf(json.Unmarshal(content, &page), "platform list at %s", c.Address)
}
