package quota

import "time"

// present says whether a request is of the present life of its data plane. A life not seen before takes the place of the
// last one, whose loans end: that process is dead. A request of a former life was late on its way, unless its stamp is newer
// than that.
func (p *Pool) acceptIncarnation(request LendRequest, now time.Time) bool {
	held, known := p.incarnations[request.DataPlane]
	if held == request.LenderIncarnation && known {
		return true
	}
	stamped := p.startedAt.Add(time.Duration(request.Stamp.At))
	if supersededAt, former := p.supersededAt[request.LenderIncarnation]; former && !stamped.After(supersededAt) {
		return false
	}
	p.incarnations[request.DataPlane] = request.LenderIncarnation
	if known {
		p.supersededAt[held] = now
		p.releaseLender(held, now)
	}
	p.dropSuperseded(now)
	return true
}

// dropSuperseded drops former lives of which nothing can be on its way that would be taken.
func (p *Pool) dropSuperseded(now time.Time) {
	for incarnation, supersededAt := range p.supersededAt {
		if now.Sub(supersededAt) > 2*p.parameters.LoanTerm {
			delete(p.supersededAt, incarnation)
		}
	}
}
