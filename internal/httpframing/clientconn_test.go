package httpframing

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

// scriptedPeer answers the requests of each connection with raw bytes, the n-th request with the n-th answer.
type scriptedPeer struct {
	answers []string
	// split is where the first answer is divided into two writes.
	split int
	dials int
}

func (p *scriptedPeer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.dials++
	go p.serve(server)
	return client, nil
}

func (p *scriptedPeer) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for number, answer := range p.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if number == 0 {
			_, _ = io.WriteString(connection, answer[:p.split])
			answer = answer[p.split:]
		}
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, reader)
}

// received is what a client got: the status and the body, or an error.
type received struct {
	status int
	body   string
	err    error
}

func exchange(client *http.Client, method string) received {
	request, err := http.NewRequest(method, "http://peer.example/a", strings.NewReader("prompt"))
	if err != nil {
		return received{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return received{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, string(body), err}
}

const secondAnswer = "HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\nsecond"

// exchangeTwice sends two requests, the second one after the connection has come to rest, and returns both results and how many
// connections were used. The first answer is split at a byte.
func exchangeTwice(method, first string, split int) (one, two received, dials int) {
	scripted := &scriptedPeer{answers: []string{first, secondAnswer, secondAnswer}, split: split}
	transport := &http.Transport{DialContext: CheckResponses(scripted.dial), DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	one = exchange(client, cmp.Or(method, http.MethodPost))
	synctest.Wait()
	scripted.answers, scripted.split = []string{secondAnswer, secondAnswer, secondAnswer}, 0
	two = exchange(client, http.MethodPost)
	return one, two, scripted.dials
}

// Guards against a response that two readers would end at different bytes, and against stray bytes taken for the next response.
func TestCheckResponses_NeverReusesAConnectionInDoubt(t *testing.T) {
	for _, form := range append(httpforms.AmbiguousResponses(), httpforms.CompleteResponses()...) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for split := range form.Raw {
					for _, behind := range []string{"", httpforms.Stray} {
						checkResponse(t, form, behind, split)
					}
				}
			})
		})
	}
}

func checkResponse(t *testing.T, form httpforms.Response, behind string, split int) {
	one, two, dials := exchangeTwice(form.Method, form.Raw+behind, split)
	if form.Complete {
		assert.NilError(t, one.err, "split at %d", split)
		assert.Equal(t, one.status, form.Status)
		assert.Equal(t, one.body, form.Body)
	} else {
		assert.Assert(t, one.err != nil, "split at %d: got %d %q", split, one.status, one.body)
	}
	assert.NilError(t, two.err, "split at %d", split)
	assert.Equal(t, two.body, "second", "split at %d", split)
	if form.Complete && behind == "" {
		assert.Equal(t, dials, 1, "split at %d", split)
	} else {
		assert.Equal(t, dials, 2, "split at %d", split)
	}
}

func TestCheckResponses_CutResponseNeverLooksComplete(t *testing.T) {
	for _, form := range httpforms.CompleteResponses() {
		if form.Body == "" {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			for length := range form.Raw {
				transport := &http.Transport{DialContext: CheckResponses(func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						_, _ = http.ReadRequest(bufio.NewReader(server))
						_, _ = io.WriteString(server, form.Raw[:length])
						server.Close()
					}()
					return client, nil
				})}
				got := exchange(&http.Client{Transport: transport}, http.MethodPost)
				assert.Assert(t, got.err != nil, "%s cut at %d: %d %q", form.Name, length, got.status, got.body)
			}
		})
	}
}
