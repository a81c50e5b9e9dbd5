package controlplane

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

func (n *Node) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.Methods["keystore"].Path, peer.Handler(n.handleKeystore))
	router.Post(peer.Methods["learn"].Path, peer.Handler(n.handleKeyUpdate))
	router.Post(peer.Methods["news"].Path, peer.Handler(n.watchServer.HandleWatch))
	router.Post(peer.Methods["pressure"].Path, peer.Handler(n.handleLoadReport))
	router.Post(peer.Methods["follow"].Path, peer.Handler(n.watchServer.HandleSubscribe))
	router.Post(peer.Methods["sums"].Path, peer.Handler(n.handleLoadSummary))
	router.Post(peer.Methods["roster"].Path, peer.Handler(n.handleRosterUpdate))
	router.Post(peer.Methods["greet"].Path, peer.Handler(n.handleHeartbeat))
	router.Post(peer.Methods["forecast"].Path, peer.Handler(n.handleForecast))
	router.Post(peer.Methods["plan"].Path, peer.Handler(n.handlePlanRequest))
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
	n.applyCommitted(ctx, update.Register)
	return struct{}{}
}

func (n *Node) adminRoutes() http.Handler {
	return adminapi.NewHandler(n, adminapi.NewReplayGuard(n.settings.BindAddresses.ControlPlane, n.clock))
}
