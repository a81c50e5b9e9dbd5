package dataplane

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// statusRoutes answers load balancers whether this node is ready, and operators what it rejected since its start and
// what it holds and has lent of tenants' limits.
func (n *Node) statusRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/ferryspar/readyz", n.serveReadiness)
	router.Get("/ferryspar/refusals", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.proxy.Rejections.Counts())
	})
	router.Get("/ferryspar/quota", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.quotas.status())
	})
	return router
}

func (n *Node) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() {
		apierror.Write(writer, apierror.New(apierror.ShuttingDown, ""))
		return
	}
	if !n.state.Ready() {
		apierror.Write(writer, apierror.New(apierror.NoConfiguration, ""))
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// writeJSON answers with a value. A client that has gone is no fault, so a failed write is ignored.
func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
