package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// ordinaryRequests is the number of ordinary clients' requests. After every second one comes a rude peer.
	ordinaryRequests = 40
	smuggleEvents    = 10
	// rudeWait is how long a rude peer waits for a further answer.
	rudeWait = time.Second
)

// hiddenPrefix begins the ids of the requests that stand inside the body of another one. No client sends a request with such an id.
const hiddenPrefix = "hidden"

// playSmuggle lets rude peers send a request whose head states both a length and chunks, with a further request inside the bytes
// that the length covers. No replica may run that one.
func playSmuggle(f *fleet, trouble bool) (verdict, error) {
	if err := f.start(smuggleEvents); err != nil {
		return verdict{}, err
	}
	for number := range ordinaryRequests {
		id := fmt.Sprintf("client%02d", number)
		answer := ask(f.data[number%dataCount], id)
		f.log.write("client sent %s, got %d, whole %v", id, answer.status, answer.whole)
		if number%2 == 0 {
			f.sendRude(number/2, trouble)
		}
	}
	time.Sleep(time.Second)
	return f.judgeSmuggle()
}

// sendRude sends one request of a rude peer and records the answers to it. Without the trouble the request is chunked only, and its
// body is the one chunk.
func (f *fleet) sendRude(number int, trouble bool) {
	id := fmt.Sprintf("rude%02d", number)
	message := requestHead(id) + "Transfer-Encoding: chunked\r\n\r\n6\r\nprompt\r\n0\r\n\r\n"
	if trouble {
		hidden := requestHead(fmt.Sprintf("%s%02d", hiddenPrefix, number)) + "Content-Length: 6\r\n\r\nprompt"
		body := "0\r\n\r\n" + hidden
		message = requestHead(id) + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(body)) + body
	}
	connection, err := net.DialTimeout("tcp", f.data[number%dataCount], time.Second)
	if err != nil {
		f.log.write("rude peer sent %s, no connection", id)
		return
	}
	defer connection.Close()
	_, _ = connection.Write([]byte(message))
	_ = connection.SetReadDeadline(time.Now().Add(rudeWait))
	reader := bufio.NewReader(connection)
	for {
		answer := readAnswer(reader)
		f.log.write("rude peer sent %s, got %d, whole %v", id, answer.status, answer.whole)
		if answer.status == 0 || !trouble {
			return
		}
	}
}

// judgeSmuggle counts the runs of requests that no client sent.
func (f *fleet) judgeSmuggle() (verdict, error) {
	var result verdict
	served := 0
	for _, run := range f.runs.list() {
		if strings.HasPrefix(run.id, hiddenPrefix) {
			result.broken++
			f.log.write("UNASKED: %s ran %s, which no client sent", run.replica, run.id)
		}
		if strings.HasPrefix(run.id, "client") {
			served++
		}
	}
	if served < ordinaryRequests/2 {
		return result, fmt.Errorf("only %d of %d ordinary requests ran", served, ordinaryRequests)
	}
	return result, nil
}
