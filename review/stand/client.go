package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestForm is a client's request as the pages show it, without the length and the body.
const requestForm = "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nFerryspar-Attempt-Id: %s\r\nFerryspar-Model: %s\r\n" +
	"Ferryspar-Token-Count: 1460,40\r\nFerryspar-Prompt-Prefix: 5c1e07a2:800,%x:660\r\nFerryspar-Time-Remaining: 15000\r\n"

var sessions atomic.Uint64

func requestHead(id string) string {
	return fmt.Sprintf(requestForm, host, id, model, sessions.Add(1))
}

// outcome is what a client has got: the status, or 0 without one, and whether the answer was whole.
type outcome struct {
	status int
	whole  bool
}

// ask sends one request on a new connection and reads the answer.
func ask(address, id string) outcome {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return outcome{}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(connection, "%sContent-Length: 6\r\n\r\nprompt", requestHead(id))
	return readAnswer(bufio.NewReader(connection))
}

func readAnswer(reader *bufio.Reader) outcome {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return outcome{}
	}
	content, err := io.ReadAll(response.Body)
	ended := response.StatusCode != http.StatusOK || strings.Count(string(content), "\n\n") > 0
	return outcome{status: response.StatusCode, whole: err == nil && ended}
}
