package dataplane

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// statusRoutes answers whether this daemon may be sent requests, and what it refused since its start, by reason, and
// what it holds and lent of tenants' limits.
func (n *Node) statusRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/ferryspar/readyz", func(writer http.ResponseWriter, request *http.Request) {
		if n.draining.Load() {
			apierror.Write(writer, apierror.New(apierror.ShuttingDown, ""))
			return
		}
		if !n.state.Ready() {
			apierror.Write(writer, apierror.New(apierror.NoConfiguration, ""))
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	router.Get("/ferryspar/refusals", func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(n.handler.Rejections.Counts())
	})
	router.Get("/ferryspar/quota", n.quotas.serveStatus)
	return router
}
