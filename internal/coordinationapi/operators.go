package coordinationapi

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
	"ferryspar/internal/coordination"
)

// PathItems is the path of the operators' list of items. The kind and name of one item may follow.
const PathItems = "/ferryspar/coordination"

// ItemList is the response body with the list of items.
type ItemList struct {
	Items []coordination.ItemSummary `json:"items"`
	// Watches is the number of watches that wait at the control plane that answered, by group.
	Watches map[string]int `json:"watches"`
}

// ItemStatus is the response body with the state of one item.
type ItemStatus struct {
	Kind coordination.Kind `json:"kind"`
	Name string            `json:"name"`
	// Lock, Number or Group is set to the state of the item, depending on its kind.
	Lock   *coordination.LockStatus  `json:"lock,omitempty"`
	Number *uint64                   `json:"number,omitempty"`
	Group  *coordination.GroupStatus `json:"group,omitempty"`
}

func (a *api) registerOperators(router chi.Router) {
	router.Get(PathItems, a.listItems)
	router.Get(PathItems+"/{kind}/{name}", a.inspectItem)
	router.Delete(PathItems+"/"+string(coordination.KindLock)+"/{name}", a.forceRelease)
}

func (a *api) listItems(writer http.ResponseWriter, _ *http.Request) {
	items := a.service.Items()
	slices.SortFunc(items, func(left, right coordination.ItemSummary) int {
		if order := strings.Compare(string(left.Kind), string(right.Kind)); order != 0 {
			return order
		}
		return strings.Compare(left.Name, right.Name)
	})
	writeJSON(writer, http.StatusOK, ItemList{Items: items, Watches: a.service.WatchCounts()})
}

func (a *api) inspectItem(writer http.ResponseWriter, request *http.Request) {
	kind := coordination.Kind(chi.URLParam(request, "kind"))
	if kind != coordination.KindLock && kind != coordination.KindCounter && kind != coordination.KindGroup {
		apierror.Write(writer, apierror.New(apierror.UnknownPath, "kinds are lock, number and group"))
		return
	}
	result, err := a.execute(request, coordination.Call{Operation: coordination.OperationInspect, Kind: kind})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	status := ItemStatus{Kind: kind, Name: chi.URLParam(request, "name"), Lock: result.Lock, Group: result.Group}
	if kind == coordination.KindCounter {
		status.Number = &result.Number
	}
	writeJSON(writer, http.StatusOK, status)
}

func (a *api) forceRelease(writer http.ResponseWriter, request *http.Request) {
	result, err := a.execute(request, coordination.Call{Operation: coordination.OperationForceRelease, Kind: coordination.KindLock})
	if err != nil {
		apierror.Write(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, LockReply{Fence: result.Fence})
}
