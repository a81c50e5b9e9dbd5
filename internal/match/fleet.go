package match

import (
	"slices"
	"strings"
	"time"

	"ferryspar/internal/layout"
	"ferryspar/internal/partner"
	"ferryspar/internal/platform"
)

type Replica struct {
	Index     int
	ID        string
	Backend   string
	Address   string
	Area      string
	Region    string
	Slots     int
	Draining  bool
	ColdUntil time.Time
	Models    map[string]bool
}

type Fleet struct {
	Table    *layout.Table
	Replicas []*Replica
	Drained  map[string]bool
	Edges    int
	Fetched  time.Time
	Others   map[string]partner.ReplicaPressure
	OthersAt time.Time
	Index    *Index
	Total    partner.Outcomes
	Drill    *Drill
}

func NewReplica(index int, listed platform.Replica, fetched time.Time, barred map[string]bool) *Replica {
	replica := &Replica{
		Index: index, ID: listed.ID, Backend: listed.Backend, Address: listed.Address, Area: listed.Area, Slots: listed.Slots,
		Draining: listed.State == platform.Draining, Models: map[string]bool{},
	}
	if listed.ColdRemainingMs > 0 {
		replica.ColdUntil = fetched.Add(time.Duration(listed.ColdRemainingMs * float64(time.Millisecond)))
	}
	for _, held := range listed.Models {
		if barred[listed.ID+" "+held.Name] {
			continue
		}
		replica.Models[held.Name] = true
		for _, adapter := range held.Adapters {
			if reference := held.Name + "/" + adapter; !barred[listed.ID+" "+reference] {
				replica.Models[reference] = true
			}
		}
	}
	return replica
}

func (r *Replica) welcomes(order *Order) bool {
	return !order.Excluded[r.ID] && (len(order.Homes) == 0 || slices.Contains(order.Homes, r.Region))
}

func (r *Replica) Serves(order *Order) bool {
	return r.Backend == order.Backend && !r.Draining && (order.Model == "" || r.Models[order.Model]) && r.welcomes(order)
}

func BaseModel(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}
