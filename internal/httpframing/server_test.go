package httpframing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/httpforms"
)

// idHeader states the id of a test request.
const idHeader = "Id"

// pipeListener accepts the server's ends of in-memory connections.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    func()
}

func newPipeListener() *pipeListener {
	closed := make(chan struct{})
	return &pipeListener{make(chan net.Conn), closed, sync.OnceFunc(func() { close(closed) })}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close()
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// recordingServer is a server on in-memory connections that records the ids and bodies of the requests that it runs.
type recordingServer struct {
	listener *pipeListener
	server   *http.Server
	lock     sync.Mutex
	ran      []string
}

func startRecordingServer(t *testing.T, options Options) *recordingServer {
	recorder := &recordingServer{listener: newPipeListener()}
	recorder.server = &http.Server{Handler: recorder, IdleTimeout: time.Minute, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = Serve(recorder.server, recorder.listener, options) }()
	t.Cleanup(func() { recorder.server.Close() })
	return recorder
}

func (r *recordingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ran = append(r.ran, request.Header.Get(idHeader)+"="+string(body))
}

// connect returns the client's end of a new connection.
func (r *recordingServer) connect(t *testing.T) (net.Conn, *bufio.Reader) {
	client, accepted := net.Pipe()
	r.listener.accepted <- accepted
	t.Cleanup(func() { client.Close() })
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Minute))
	return client, bufio.NewReader(client)
}

func message(id string) httpforms.Message {
	return httpforms.Message{Method: "POST", Target: "/a", Host: "a.example", Fields: idHeader + ": " + id + "\r\n", Body: "prompt"}
}

func plainMessage(id string) string {
	return "POST /a HTTP/1.1\r\nHost: a.example\r\n" + idHeader + ": " + id + "\r\nContent-Length: 6\r\n\r\nprompt"
}

// readStatus reads a response and returns its status, or 0 if the connection has ended.
func readStatus(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// sendInParts writes a message in two parts, so that the server reads them separately.
func sendInParts(connection net.Conn, raw string, first int) {
	_, _ = io.WriteString(connection, raw[:first])
	_, _ = io.WriteString(connection, raw[first:])
}

// Guards against a hidden request that runs only if its message arrives in certain parts, or after another one.
func TestServe_NeverRunsAHiddenRequestSplitAnywhere(t *testing.T) {
	for _, form := range httpforms.Requests() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for _, kept := range []bool{false, true} {
					raw := form.Raw(message("outer"), plainMessage("behind"))
					if kept {
						raw = plainMessage("before") + raw
					}
					for first := range raw {
						checkSplit(t, form, kept, raw, first)
					}
				}
			})
		})
	}
}

func checkSplit(t *testing.T, form httpforms.Request, kept bool, raw string, first int) {
	recorder := startRecordingServer(t, Options{})
	defer recorder.server.Close()
	connection, reader := recorder.connect(t)
	defer connection.Close()
	go sendInParts(connection, raw, first)
	var expected []string
	if kept {
		expected = append(expected, "before=prompt")
		assert.Equal(t, readStatus(reader), http.StatusOK, "split at %d", first)
	}
	status := readStatus(reader)
	if form.Served {
		assert.Equal(t, status, http.StatusOK, "split at %d", first)
		expected = append(expected, "outer=prompt")
	} else {
		assert.Assert(t, status >= http.StatusBadRequest, "split at %d: status %d", first, status)
	}
	if form.Served && !form.EndsConnection {
		assert.Equal(t, readStatus(reader), http.StatusOK, "split at %d", first)
		expected = append(expected, "behind=prompt")
	}
	connection.Close()
	synctest.Wait()
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	assert.DeepEqual(t, recorder.ran, expected)
}

func TestServe_LimitsHeadersWhileTheyAreRead(t *testing.T) {
	const limit = 200
	start := "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
	largest := start + "Note: " + strings.Repeat("x", limit-len(start)-len("Note: "))
	for name, test := range map[string]struct {
		raw    string
		status int
	}{
		"at the limit":       {largest + "\r\n\r\n", http.StatusOK},
		"one byte beyond":    {largest + "x\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"without end":        {largest + "xxxx", http.StatusRequestHeaderFieldsTooLarge},
		"target without end": {"POST /" + strings.Repeat("a", limit), http.StatusRequestHeaderFieldsTooLarge},
		"many fields":        {start + strings.Repeat("A: b\r\n", limit), http.StatusRequestHeaderFieldsTooLarge},
		"second one beyond":  {largest + "\r\n\r\n" + largest + "xxxx", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := startRecordingServer(t, Options{MaxHeadBytes: func() int { return limit }})
				for first := range test.raw {
					connection, reader := recorder.connect(t)
					go sendInParts(connection, test.raw, first)
					startedAt := time.Now()
					assert.Equal(t, readStatus(reader), test.status)
					assert.Equal(t, time.Since(startedAt), time.Duration(0), "the rest of the header was awaited")
					connection.Close()
				}
			})
		})
	}
}

// Guards against a rejection that overtakes the response to a request before it on the same connection.
func TestServe_RejectsAfterTheRequestsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		listener := newPipeListener()
		server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			select {
			case <-release:
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(writer, "slow")
		})}
		go func() { _ = Serve(server, listener, Options{}) }()
		t.Cleanup(func() { server.Close() })
		recorder := &recordingServer{listener: listener}
		connection, reader := recorder.connect(t)
		go func() {
			_, _ = io.WriteString(connection, plainMessage("a")+"POST /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
		}()
		synctest.Wait()
		close(release)
		assert.Equal(t, readStatus(reader), http.StatusOK)
		assert.Equal(t, readStatus(reader), http.StatusBadRequest)
		assert.Equal(t, readStatus(reader), 0)
	})
}

func TestServe_LimitsTheTimeOfEachHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := startRecordingServer(t, Options{HeadTimeout: 3 * time.Second})
		connection, reader := recorder.connect(t)
		go func() { _, _ = io.WriteString(connection, plainMessage("a")) }()
		assert.Equal(t, readStatus(reader), http.StatusOK)
		time.Sleep(30 * time.Second)
		begunAt := time.Now()
		go func() {
			for range 10 {
				if _, err := io.WriteString(connection, "P"); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		assert.Equal(t, readStatus(reader), 0)
		assert.Equal(t, time.Since(begunAt), 3*time.Second)
		time.Sleep(10 * time.Second)
	})
}

// Guards against a request in progress that is cancelled because the next one arrives slowly behind it.
func TestServe_SlowNextRequestDoesNotDisturbTheOneInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		server := &http.Server{IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			select {
			case <-time.After(20 * time.Second):
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
		})}
		go func() { _ = Serve(server, listener, Options{HeadTimeout: 3 * time.Second}) }()
		t.Cleanup(func() { server.Close() })
		connection, reader := (&recordingServer{listener: listener}).connect(t)
		go func() {
			_, _ = io.WriteString(connection, plainMessage("a")+"POST /a HT")
			time.Sleep(10 * time.Second)
			_, _ = io.WriteString(connection, "TP/1.1\r\nHost: a\r\n\r\n")
		}()
		assert.Equal(t, readStatus(reader), http.StatusOK)
		assert.Equal(t, readStatus(reader), http.StatusOK)
	})
}
