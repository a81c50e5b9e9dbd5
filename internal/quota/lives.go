package quota

import "time"

// present says whether a request is of the present life of its data plane. A life not seen before takes the place of the
// last one, whose loans end: that process is dead. A request of a former life was late on its way, unless its stamp is newer
// than that.
func (p *Pool) present(request LendRequest, now time.Time) bool {
	held, known := p.lives[request.Daemon]
	if held == request.Lender && known {
		return true
	}
	stamped := p.started.Add(time.Duration(request.Stamp.At))
	if gaveWay, former := p.displaced[request.Lender]; former && !stamped.After(gaveWay) {
		return false
	}
	p.lives[request.Daemon] = request.Lender
	if known {
		p.displaced[held] = now
		p.release(held, now)
	}
	p.forgetLives(now)
	return true
}

// forgetLives drops former lives of which nothing can be on its way that would be taken.
func (p *Pool) forgetLives(now time.Time) {
	for life, gaveWay := range p.displaced {
		if now.Sub(gaveWay) > 2*p.parameters.Term {
			delete(p.displaced, life)
		}
	}
}
