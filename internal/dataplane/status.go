package dataplane

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
)

// statusRoutes returns the handler for readiness probes, metrics and operators' queries: rejections and outcomes of attempts at
// replicas since the start, and the state of tenants' limits.
func (n *Node) statusRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/ferryspar/readyz", n.serveReadiness)
	router.Get("/ferryspar/refusals", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.proxy.Rejections.Snapshot())
	})
	router.Get("/ferryspar/attempts", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.proxy.Attempts.ByBackend())
	})
	router.Get("/ferryspar/quota", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.quotas.status())
	})
	router.Method(http.MethodGet, "/ferryspar/metrics", n.metricsHandler())
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

// writeJSON responds with a JSON value. Write errors are ignored: they mean that the client has disconnected.
func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// attemptLogInterval is how often attempt counts are logged if they have changed.
const attemptLogInterval = 10 * time.Second

// logAttempts periodically logs the outcomes of attempts at replicas and the numbers of rejections, until the context ends.
func (n *Node) logAttempts(ctx context.Context) {
	ticker := time.NewTicker(attemptLogInterval)
	defer ticker.Stop()
	logged := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total := uint64(0)
		for _, count := range n.proxy.Attempts.Snapshot() {
			total += count
		}
		if total == logged {
			continue
		}
		logged = total
		logrus.WithFields(logrus.Fields{
			"attempts": n.proxy.Attempts.ByBackend(),
			"rejected": n.proxy.Rejections.Snapshot(),
		}).Info("attempts since start")
	}
}
