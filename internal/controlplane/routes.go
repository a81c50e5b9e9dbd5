package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/controlplane/dataplanes"
	"ferryspar/internal/keystore"
	"ferryspar/internal/peer"
)

func (n *Node) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post(peer.Methods["keystore"].Path, peer.Handler(n.handleKeystore))
	router.Post(peer.Methods["learn"].Path, peer.Handler(n.handleKeyUpdate))
	router.Post(peer.Methods["news"].Path, peer.Handler(n.handleWatch))
	router.Post(peer.Methods["pressure"].Path, peer.Handler(n.handleLoadReport))
	router.Post(peer.Methods["follow"].Path, peer.Handler(n.handleSubscribe))
	router.Post(peer.Methods["sums"].Path, peer.Handler(n.handleLoadSummary))
	router.Post(peer.Methods["roster"].Path, peer.Handler(n.handleRosterUpdate))
	router.Post(peer.Methods["greet"].Path, peer.Handler(n.members.HandleHeartbeat))
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

// handleWatch answers a data plane's poll once there is something that it was not told, or after
// the time for which it may be held. A poll that asks for a proof is answered with one.
func (n *Node) handleWatch(ctx context.Context, request peer.WatchRequest) peer.WatchResponse {
	receivedAt := n.clock()
	n.recordWatch(request, receivedAt)
	timeout := time.NewTimer(time.Duration(min(max(request.MaxWaitMs, 1), maxWatchMs)) * time.Millisecond)
	defer timeout.Stop()
	var endpointsChanged <-chan struct{}
	if request.Primary {
		endpointsChanged = n.endpoints.wakeChannel(request.DataPlane)
	} else {
		n.loads.RemoveReport(request.DataPlane)
	}
	if request.Linearizable {
		n.confirmer.Request()
	}
	for {
		snapshot := n.publisher.Current()
		response, answers := n.watchResponse(snapshot, request, receivedAt)
		if answers {
			return response
		}
		select {
		case <-snapshot.changed:
		case <-nextConfirmation(snapshot, request):
		case <-endpointsChanged:
		case <-timeout.C:
			response, _ = n.watchResponse(n.publisher.Current(), request, receivedAt)
			return response
		case <-ctx.Done():
			return peer.WatchResponse{}
		}
	}
}

const maxWatchMs = 2000

// nextConfirmation is closed at the next confirmation, for polls that wait for one.
func nextConfirmation(snapshot *Snapshot, request peer.WatchRequest) <-chan struct{} {
	if request.Linearizable {
		return snapshot.confirmed
	}
	return nil
}

func (n *Node) recordWatch(request peer.WatchRequest, receivedAt time.Time) {
	n.dataPlanes.RecordWatch(request, receivedAt)
	if request.Drill != nil {
		n.recordDrillReport(request.DataPlane, *request.Drill)
	}
}

// news composes the answer to a poll that came at the time given, and says whether it must not
// be held any longer. A daemon that leaves tells nothing as confirmed: data planes then follow
// another one while this one is still there.
func (n *Node) watchResponse(snapshot *Snapshot, request peer.WatchRequest, receivedAt time.Time) (peer.WatchResponse, bool) {
	now := n.clock()
	response := snapshot.Response(request, n.self, n.settings.Zone, n.incarnation, now)
	answers := snapshot.HasUpdateFor(request, n.incarnation, now)
	if request.Primary && response.FreshMs > 0 {
		response.EndpointSets, response.RosterVersion, response.Resubscribe = n.endpoints.Changes(request, n.incarnation, now)
		answers = answers || len(response.EndpointSets) > 0 || response.Resubscribe
	}
	response.WaitedMs = now.Sub(receivedAt).Milliseconds()
	if request.Linearizable {
		response.Linearizable = snapshot.ConfirmedAt.After(receivedAt)
		answers = response.Linearizable
	}
	if response.FreshMs > 0 {
		if duration, isCounted := n.dataPlanes.CountedFor(request.DataPlane, now); isCounted {
			response.CountedForMs = duration.Milliseconds()
		}
		response.CountReliable = now.Sub(n.startedAt) > dataplanes.ExpireAfter
	}
	if n.members.IsLeaving() {
		response.FreshMs, response.Linearizable = 0, false
	}
	return response, answers
}

func (n *Node) adminRoutes() http.Handler {
	return adminapi.NewHandler(n, adminapi.NewReplayGuard(n.settings.BindAddresses.ControlPlane, n.clock))
}
