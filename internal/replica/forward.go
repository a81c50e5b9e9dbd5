package replica

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/partner"
)

type Job struct {
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Attempt   string
	Urgency   int
	Deadline  time.Time
	LastEvent string
	Service   string
	Once      bool
	Sessions  int
}

type Verdict int

const (
	VerdictAnswered Verdict = iota
	VerdictFull
	VerdictMissing
	VerdictGone
	VerdictUnreached
	VerdictUnknown
	VerdictReset
)

var NeverRan = map[Verdict]bool{VerdictFull: true, VerdictMissing: true, VerdictGone: true, VerdictUnreached: true}

type Forwarder struct{ sessions }

func NewForwarder(network partner.Network, clock func() time.Time, connectBound, silence time.Duration) *Forwarder {
	return &Forwarder{sessions{
		transports: map[string]*kept{}, lessons: map[string]*lesson{}, connectBound: connectBound, silence: silence, clock: clock, network: network,
	}}
}

type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

func discard(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, 4<<10)
	answer.Body.Close()
}

func judge(answer *http.Response, attempt, identity string) Verdict {
	if answer.Header.Get(HeaderAttempt) != attempt && answer.StatusCode != http.StatusMisdirectedRequest {
		if answer.Header.Get(HeaderNotExecuted) != "" && answer.Header.Get(HeaderAttempt) == "" {
			return VerdictFull
		}
		return VerdictUnknown
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		if stated := answer.Header.Get(HeaderAttempt); stated != "" && stated != attempt {
			return VerdictUnknown
		}
		if other := answer.Header.Get(HeaderIdentity); other != "" && other != identity {
			return VerdictGone
		}
		return VerdictMissing
	}
	if answer.Header.Get(HeaderNotExecuted) != "" {
		return VerdictFull
	}
	if answer.StatusCode < 300 && answer.Header.Get(HeaderSeal) == "" {
		return VerdictUnknown
	}
	if answer.Header.Get("Content-Encoding") != "" && answer.StatusCode < 300 {
		return VerdictUnknown
	}
	return VerdictAnswered
}

func (f *Forwarder) compose(ctx context.Context, address, identity string, job Job) *http.Request {
	order := &http.Request{
		Method: job.Method, Host: job.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address}, Header: forwarded(job.Header),
	}
	order = order.WithContext(ctx)
	if path, query, found := strings.Cut(job.URI, "?"); strings.HasPrefix(path, "//") {
		order.URL.Path, order.URL.RawQuery, order.URL.ForceQuery = path, query, found && query == ""
	} else {
		order.URL.Opaque = job.URI
	}
	if len(job.Body) > 0 || job.Method == http.MethodPost || job.Method == http.MethodPut {
		order.Body = onceBody{bytes.NewReader(job.Body)}
		order.ContentLength = int64(len(job.Body))
		if len(job.Body) == 0 {
			order.Body = http.NoBody
		}
	}
	remaining := job.Deadline.Sub(f.clock()).Milliseconds()
	order.Header.Set(HeaderRemaining, strconv.FormatInt(max(remaining, 1), 10))
	order.Header.Set(HeaderTarget, identity)
	order.Header.Set(HeaderUrgency, strconv.Itoa(job.Urgency))
	if job.LastEvent != "" {
		order.Header.Set(HeaderLastEvent, job.LastEvent)
	}
	if _, named := order.Header["User-Agent"]; !named {
		order.Header["User-Agent"] = []string{""}
	}
	return order
}

func forwarded(header http.Header) http.Header {
	kept := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	kept.Del("Expect")
	kept.Del("Content-Length")
	return kept
}

func AnswerHeader(target, source http.Header) {
	for name, values := range forwarded(source) {
		target[name] = values
	}
}
