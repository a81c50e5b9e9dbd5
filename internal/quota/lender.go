package quota

import (
	"time"
)

// Lender is the part of a data plane that owns a share of the limits of all tenants and lends it to homes. It keeps
// in its books what it may still have lent to whom, so that no part of the share is ever at two places.
type Lender struct {
	parameters Parameters
	// life names this process of the data plane daemon, which began when it was born.
	daemon string
	life   string
	born   time.Time
	number uint64
	// share is the data plane's part of every limit, believed until touched + Touch. It has been counted among the
	// data planes since countedSince; joining tells that others may count it later than that.
	share        float64
	touched      time.Time
	countedSince time.Time
	joining      bool
	// anew is set where the control daemons have all started anew, like this process.
	anew   bool
	books  map[bookKey][]entry
	homes  map[string]*home
	chosen [][]string
	// releasedAt tells when a home last released its part of a group.
	releasedAt map[int]time.Time
	// begun holds the groups that were lent of.
	begun map[int]bool
}

type bookKey struct {
	home  string
	group int
}

// entry is a share that may be lent until a moment.
type entry struct {
	share float64
	until time.Time
}

// home is what a lender knows of another data plane as a home.
type home struct {
	stamp   Stamp
	heardAt time.Time
	// failures counts the calls without an answer since the last one; silentUntil is when a home that doesn't answer is
	// asked again.
	failures    int
	silentUntil time.Time
}

// Offer is a request to be sent to a home.
type Offer struct {
	Home    string
	Request LendRequest
}

// NewLender returns a lender without a share. It lends nothing for a term, since what an earlier process of the daemon
// lent may not have ended; homes that it asks end that at once, and after a start of all that is relied upon.
func NewLender(parameters Parameters, daemon, life string, now time.Time) *Lender {
	return &Lender{
		parameters: parameters,
		daemon:     daemon,
		life:       life,
		born:       now,
		books:      map[bookKey][]entry{},
		homes:      map[string]*home{},
		chosen:     make([][]string, max(parameters.Groups, 1)),
		releasedAt: map[int]time.Time{},
		begun:      map[int]bool{},
	}
}

// Count is what control daemons tell a data plane of how many there are. Sure says that the number holds for longer
// than the control daemons have run, Since how long this data plane has been one of them.
type Count struct {
	DataPlanes int
	Since      time.Duration
	Sure       bool
}

// Touch notes the count that was confirmed in answer to a question put at the time given. Where the last such answer is so
// old that this data plane may not have been counted meanwhile, it joins anew. After a start of all control daemons all
// data planes are new, and nobody can be waited for.
func (l *Lender) Touch(count Count, asked time.Time) {
	if asked.Before(l.touched) {
		return
	}
	l.anew = l.anew || l.touched.IsZero() && !count.Sure
	if l.touched.IsZero() || asked.Sub(l.touched) >= l.parameters.Counted {
		l.countedSince, l.joining = asked, count.Sure
	}
	l.countedSince = earlier(l.countedSince, asked.Add(-count.Since))
	l.share, l.touched = 1/float64(max(count.DataPlanes, 1)), asked
}

// InTouch says whether the count was confirmed lately.
func (l *Lender) InTouch(now time.Time) bool {
	return !l.touched.IsZero() && now.Sub(l.touched) < l.parameters.Touch
}

// lends says whether the share may be lent now.
func (l *Lender) lends(now time.Time) bool {
	if !l.InTouch(now) {
		return false
	}
	joined := !l.joining || now.Sub(l.countedSince) > l.parameters.JoiningWait()
	return joined && (l.anew || now.Sub(l.born) > l.parameters.lent())
}

// Plan returns the requests to be sent now, and notes what they lend as lent. Members are the names of the data planes
// that may be homes, this one among them.
func (l *Lender) Plan(members []string, now time.Time) []Offer {
	l.settle(now)
	requests := map[string]*LendRequest{}
	var order []string
	request := func(home string) *LendRequest {
		if requests[home] == nil {
			l.number++
			requests[home] = &LendRequest{Daemon: l.daemon, Lender: l.life, Number: l.number, Stamp: l.known(home).stamp}
			order = append(order, home)
		}
		return requests[home]
	}
	for group := range l.chosen {
		chosen, probed := l.choose(Rank(group, members), now)
		l.chosen[group] = chosen
		for _, home := range probed {
			request(home)
		}
		for _, home := range chosen {
			one := request(home)
			if share := l.lend(home, group, len(chosen), now); share > 0 {
				one.Loans = append(one.Loans, Loan{
					Group:  group,
					Share:  share,
					Homes:  len(chosen),
					Moved:  l.moved(group, now),
					IdleMs: l.idle(group, now).Milliseconds(),
				})
			}
		}
		l.begun[group] = l.begun[group] || l.lends(now) && len(chosen) > 0
	}
	offers := make([]Offer, 0, len(order))
	for _, home := range order {
		offers = append(offers, Offer{Home: home, Request: *requests[home]})
	}
	return offers
}

// stampLife is the part of a term after which a stamp is too old to lend on: little would be left of the loan.
const stampLife = 0.7

// choose picks the first ranked homes that answer, and those to be asked whether they do.
func (l *Lender) choose(ranked []string, now time.Time) (chosen, probed []string) {
	for _, name := range ranked {
		if len(chosen) >= l.parameters.Homes {
			break
		}
		known := l.known(name)
		answers := known.stamp.Life != "" && now.Sub(known.heardAt) < time.Duration(stampLife*float64(l.parameters.Term))
		switch {
		case answers:
			chosen = append(chosen, name)
		case len(probed) < l.parameters.Homes && !now.Before(known.silentUntil):
			probed = append(probed, name)
		}
	}
	return chosen, probed
}

func (l *Lender) known(name string) *home {
	if l.homes[name] == nil {
		l.homes[name] = &home{}
	}
	return l.homes[name]
}

// Answered notes a home's answer. It says whether the home is newly known to answer, so that a plan is due at once.
func (l *Lender) Answered(name string, reply LendReply, now time.Time) bool {
	known := l.known(name)
	if reply.Released {
		return l.released(name, reply.Stamp.Life, now)
	}
	if known.stamp.Life == reply.Stamp.Life && reply.Stamp.At <= known.stamp.At {
		return false
	}
	fresh := known.stamp.Life != reply.Stamp.Life
	known.stamp, known.heardAt, known.failures, known.silentUntil = reply.Stamp, now, 0, time.Time{}
	return fresh
}

// released takes what a home released out of the books, if that is the life of the home that has it. The home leaves, so
// it isn't asked again soon.
func (l *Lender) released(name, life string, now time.Time) bool {
	known := l.known(name)
	known.silentUntil = now.Add(l.parameters.Counted)
	if known.stamp.Life != life {
		return false
	}
	known.stamp = Stamp{}
	for key := range l.books {
		if key.home == name {
			l.releasedAt[key.group] = now
			delete(l.books, key)
		}
	}
	return true
}

// failuresBorne is how many calls in a row may fail before a home counts as silent: a busy one may be late once.
const failuresBorne = 1

// Failed notes that a home gave no answer. After more than one in a row it isn't lent to before it answers again.
func (l *Lender) Failed(name string, now time.Time) {
	known := l.known(name)
	known.failures++
	if known.failures > failuresBorne || known.stamp.Life == "" {
		known.stamp, known.silentUntil = Stamp{}, now.Add(2*l.parameters.Renewal)
	}
}

// Homes returns the homes of a tenant's group that shares were last lent to.
func (l *Lender) Homes(tenant string) []string { return l.chosen[l.parameters.Group(tenant)] }
