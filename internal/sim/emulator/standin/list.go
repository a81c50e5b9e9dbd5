package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"ferryspar/internal/discovery"
)

// List serves the platform's list of the given replicas, in pages.
type List struct {
	Replicas []*Replica
	PageSize int
}

// ServeHTTP responds with a page of the list. It is safe for concurrent use.
func (l *List) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/replicas" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	query := request.URL.Query()
	entries := []discovery.Replica{}
	for _, created := range l.Replicas {
		if entry := created.Entry(); query.Get("zone") == "" || query.Get("zone") == entry.Zone {
			entries = append(entries, entry)
		}
	}
	start, _ := strconv.Atoi(query.Get("pageToken"))
	start = min(max(start, 0), len(entries))
	end := min(start+max(l.PageSize, 1), len(entries))
	page := discovery.Page{Instances: entries[start:end]}
	if end < len(entries) {
		next := strconv.Itoa(end)
		page.NextToken = &next
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}
