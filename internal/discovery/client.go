// Package discovery lists the platform's replicas, page by page, and merges listings that were read while the list changed.
// Listing has no side effects and may be retried; a listing is valid only if all its pages were read completely.
//
// When to list replicas and how to use them is up to internal/controlplane/roster. Start reading at Client.List and Merger.
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

// Client lists replicas at an address (host:port). It is not safe for concurrent use.
type Client struct {
	Address    string
	HTTPClient *http.Client

	pageCount int
}

// BurstPages is the number of pages of a listing that are read without pacing, so that short lists are read immediately.
const BurstPages = 4

// ListOptions configures a listing. The zero value reads all pages without pacing.
type ListOptions struct {
	// MaxPages is the maximum number of pages, beyond which List returns ErrPageLimit; 0 for no limit.
	MaxPages int
	// PagesPerSecond limits the rate at which pages after the first BurstPages are read, because the platform rejects calls
	// above its rate limit, and a listing with a missing page is invalid. 0 for no limit.
	PagesPerSecond float64
	// OnPage, if not nil, is called with the entries of each page as soon as it is read.
	OnPage func(entries []Replica)
}

// dueAfter returns the earliest time, after the start of a listing, at which the page at an index may be requested.
func (o ListOptions) dueAfter(index int) time.Duration {
	if o.PagesPerSecond <= 0 {
		return 0
	}
	return MinListDuration(o.PagesPerSecond, index+1)
}

// MinListDuration returns the minimum duration of a paced listing with that number of pages.
func MinListDuration(pagesPerSecond float64, pages int) time.Duration {
	return time.Duration(float64(max(pages-BurstPages, 0)) / pagesPerSecond * float64(time.Second))
}

// PageCount returns the number of pages of the last complete listing, or one above MaxPages if a later one exceeded that limit;
// at least 1. Each page counts as a call to the platform.
func (c *Client) PageCount() int { return max(c.pageCount, 1) }

// ErrThrottled is returned when the platform rejects a call because its rate limit is exceeded.
var ErrThrottled = errors.New("platform list: rate limit exceeded")

// ErrPageLimit is returned for a list with more pages than ListOptions.MaxPages.
var ErrPageLimit = errors.New("platform list: page limit exceeded")

// ErrTooManyPages is returned for a list with more than maxPages pages, whose pagination probably does not end.
var ErrTooManyPages = errors.New("platform list: too many pages")

const (
	// pageTimeout is the timeout of a page, listTimeout that of a listing without its pauses. listTimeout is generous, because
	// 60 pages take a second on a small machine that is starting, and a listing that times out has to start over.
	pageTimeout = 900 * time.Millisecond
	listTimeout = 4 * time.Second
	maxPages    = 200
	// throttlePause is the backoff before a throttled page is requested again, maxThrottled the maximum number of such retries
	// per listing. Retrying a page several times costs less than reading the pages before it again.
	throttlePause = 120 * time.Millisecond
	maxThrottled  = 6
)

// List returns the complete list, or an error if any page failed: ErrThrottled, ErrTooManyPages, ErrPageLimit, or the error of
// the call.
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

// pause waits for the duration and returns false if the context ends first.
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

// fetchPage reads the page with the token, or the first page for an empty one.
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
