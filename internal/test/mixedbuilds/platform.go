package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// platform stands in for the platform: it forwards reads of the list to the demonstration, and takes reports of usage.
type platform struct {
	address string
	server  *http.Server

	mutex sync.Mutex
	list  *httputil.ReverseProxy
	// reports are the accepted reports by window; changed are windows that were reported twice with different counts.
	reports map[uint64]string
	changed []uint64
	newest  uint64
}

func startPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	started := &platform{address: listener.Addr().String(), reports: map[uint64]string{}}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

func (p *platform) close() { p.server.Close() }

// setList names the address of the demonstration's list.
func (p *platform) setList(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.list == nil {
		p.list = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	}
}

// ServeHTTP answers a call of a control plane.
func (p *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/usage" {
		p.takeReport(writer, request)
		return
	}
	p.mutex.Lock()
	list := p.list
	p.mutex.Unlock()
	list.ServeHTTP(writer, request)
}

func (p *platform) takeReport(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	var report struct {
		Window uint64            `json:"windowId"`
		Counts map[string]uint64 `json:"counts"`
	}
	if err != nil || json.Unmarshal(body, &report) != nil || report.Window == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, reported := p.reports[report.Window]; reported && known != string(body) {
		p.changed = append(p.changed, report.Window)
	}
	p.reports[report.Window] = string(body)
	p.newest = max(p.newest, report.Window)
}

// newestReport returns the newest reported window and the windows whose counts changed.
func (p *platform) newestReport() (newest uint64, changed []uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.newest, p.changed
}
