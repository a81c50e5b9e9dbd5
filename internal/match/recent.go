package match

import "time"

const (
	recentBound       = 200
	recentLeast       = 4
	recentTotal       = 2000
	recentRoutesBound = 1024
)

type ring struct {
	orders []*Order
	next   int
}

type recent struct {
	routes map[string]*ring
}

func (r *recent) note(order *Order) {
	if order.Route == "" || len(order.Excluded) > 0 {
		return
	}
	held := r.routes[order.Route]
	if held == nil {
		if r.routes == nil || len(r.routes) >= recentRoutesBound {
			r.routes = map[string]*ring{}
		}
		held = &ring{}
		r.routes[order.Route] = held
	}
	if len(held.orders) < min(max(recentTotal/len(r.routes), recentLeast), recentBound) {
		held.orders = append(held.orders, order)
		return
	}
	held.orders[held.next] = order
	held.next = (held.next + 1) % len(held.orders)
}

func (r *ring) each(visit func(order *Order)) {
	for position := range r.orders {
		visit(r.orders[(r.next+position)%len(r.orders)])
	}
}

func (r *recent) drop(gone func(order *Order) bool) {
	for route, held := range r.routes {
		kept := &ring{}
		held.each(func(order *Order) {
			if !gone(order) {
				kept.orders = append(kept.orders, order)
			}
		})
		r.routes[route] = kept
		if len(kept.orders) == 0 {
			delete(r.routes, route)
		}
	}
}

func (r *recent) expire(life time.Duration, now time.Time) {
	for _, held := range r.routes {
		if now.Sub(held.orders[held.next%len(held.orders)].Arrived) > life {
			r.drop(func(order *Order) bool { return now.Sub(order.Arrived) > life })
			return
		}
	}
}

func (r *recent) forget(matches func(model string, part uint64) bool) {
	r.drop(func(order *Order) bool {
		for _, part := range order.Parts {
			if matches(order.Model, part.ID) {
				return true
			}
		}
		return false
	})
}
