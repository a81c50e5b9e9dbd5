package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"ferryspar/internal/discovery"
)

const platformHost = "10.200.0.1"

// setUnlisted removes a replica from the platform list, as a change between two pages of the list can do, or adds it again.
func (f *fleet) setUnlisted(standIn *standInReplica, unlisted bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.replicas = slices.DeleteFunc(f.replicas, func(listed *standInReplica) bool { return listed == standIn })
	if !unlisted {
		f.replicas = append(f.replicas, standIn)
	}
}

// listPage returns a page of the platform list. As on the platform, page tokens are offsets in the current list.
func (f *fleet) listPage(replicas []*standInReplica, token string) discovery.Page {
	f.lock.Lock()
	size, paged := f.pageSize, f.onPage
	f.lock.Unlock()
	page, from := discovery.Page{Instances: []discovery.Replica{}}, 0
	_, _ = fmt.Sscanf(token, "p-%d", &from)
	end := len(replicas)
	if size > 0 && from+size < end {
		end = from + size
		next := fmt.Sprintf("p-%d", end)
		page.NextToken = &next
	}
	for _, standIn := range replicas[min(from, end):end] {
		page.Instances = append(page.Instances, standIn.listEntry())
	}
	if paged != nil {
		paged(from)
	}
	return page
}

// serveReplicaList answers a list call of the control plane after listDuration.
func (f *fleet) serveReplicaList(writer http.ResponseWriter, request *http.Request) {
	f.lock.Lock()
	replicas := append([]*standInReplica(nil), f.replicas...)
	f.listCalls++
	duration := f.listDuration
	f.lock.Unlock()
	time.Sleep(duration)
	_ = json.NewEncoder(writer).Encode(f.listPage(replicas, request.URL.Query().Get("pageToken")))
}
