package controlplane

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/coordinationapi"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

func (n *Node) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.MethodKeystore.Path(), peer.Handler(n.handleKeystore))
	router.Post(peer.MethodLearn.Path(), peer.Handler(n.handleKeyUpdate))
	router.Post(peer.MethodWatch.Path(), peer.Handler(n.watchServer.HandleWatch))
	router.Post(peer.MethodReportLoad.Path(), peer.Handler(n.loadExchange.HandleLoadReport))
	router.Post(peer.MethodSubscribe.Path(), peer.Handler(n.watchServer.HandleSubscribe))
	router.Post(peer.MethodShareLoad.Path(), peer.Handler(n.loadExchange.HandleLoadSummary))
	router.Post(peer.MethodShareRoster.Path(), peer.Handler(n.roster.HandleUpdate))
	router.Post(peer.MethodFetchRoster.Path(), peer.Handler(n.roster.HandleFetch))
	router.Post(peer.MethodChange.Path(), peer.Handler(n.configChanges.HandleChange))
	router.Post(peer.MethodCoordinate.Path(), peer.Handler(n.coordination.HandleForwarded))
	router.Post(peer.MethodHandOver.Path(), peer.Handler(n.coordination.HandleHandover))
	router.Post(peer.MethodHeartbeat.Path(), peer.Handler(n.members.HandleHeartbeat))
	router.Post(peer.MethodForecast.Path(), peer.Handler(n.forecaster.HandleResponse))
	router.Post(peer.MethodForecastPlan.Path(), peer.Handler(n.handlePlanRequest))
	return router
}

func (n *Node) handleKeystore(ctx context.Context, message keystore.Message) keystore.Reply {
	reply, err := n.acceptor.Call(ctx, message)
	if err != nil {
		return keystore.Reply{Rejection: keystore.RejectedUnreachable}
	}
	return reply
}

func (n *Node) handleKeyUpdate(ctx context.Context, update peer.KeyUpdate) struct{} {
	n.applier.ApplyCommitted(ctx, update.Register)
	return struct{}{}
}

// adminRoutes returns the handler for calls of operators and applications to the node's control-plane address.
func (n *Node) adminRoutes() http.Handler {
	router := chi.NewRouter()
	router.Mount("/", adminapi.NewHandler(n, adminapi.NewReplayGuard(n.settings.BindAddresses.ControlPlane, n.clock)))
	router.Method(http.MethodGet, metricsPath, n.metricsHandler())
	coordinationapi.Register(router, coordinationService{n})
	return router
}
