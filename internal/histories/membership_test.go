package histories_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/membership"
)

const (
	heartbeatEvery = 150 * time.Millisecond
	membersEvery   = 300 * time.Millisecond
	// settleTime is how long a machine listens after its start before it changes members.
	settleTime = 2500 * time.Millisecond
)

// heartbeats carries who is there, and the newest member list, between all machines that reach
// each other.
func (p *play) heartbeats() {
	for !p.ended() {
		time.Sleep(heartbeatEvery + 13*time.Nanosecond)
		names := p.fleet.Present()
		for _, from := range names {
			for _, to := range names {
				if from != to && p.fleet.Hears(from, to) {
					p.hear(from, to)
				}
			}
		}
	}
}

func (p *play) hear(from, to string) {
	sender, receiver := p.fleet.StoreOf(from), p.fleet.StoreOf(to)
	if sender == nil || receiver == nil {
		return
	}
	receiver.Adopt(sender.Members())
	p.lock.Lock()
	defer p.lock.Unlock()
	p.heard[[2]string{to, from}] = time.Now()
}

func (p *play) view(self string, store *keystore.Store) membership.View {
	view := membership.View{Current: store.Members(), Self: self, Wanted: p.schedule.size, Peers: map[string]membership.Peer{}}
	for _, name := range p.fleet.Present() {
		acceptor := p.fleet.AcceptorOf(name)
		p.lock.Lock()
		heard, known := p.heard[[2]string{self, name}]
		p.lock.Unlock()
		if name != self && (!known || acceptor == nil) {
			continue
		}
		peer := membership.Peer{Address: name, Zone: p.fleet.Zone(name)}
		if name != self {
			peer.Silence = time.Since(heard)
		}
		if acceptor != nil {
			peer.Joining, peer.Number = !acceptor.Self().Voting, acceptor.Self().Number
		}
		view.Peers[name] = peer
	}
	return view
}

// viewWithSilence adds whom the peers do not hear.
func (p *play) viewWithSilence(self string, store *keystore.Store) membership.View {
	view := p.view(self, store)
	for name, peer := range view.Peers {
		if other := p.fleet.StoreOf(name); other != nil && name != self {
			peer.Silent = p.view(name, other).Silent()
			view.Peers[name] = peer
		}
	}
	return view
}

// manageMembers replaces lost members as internal/controlplane/membership.go does, and lets a
// machine that lost its vote catch up once it is wanted again.
func (p *play) manageMembers(name string, position int) {
	var due membership.Change
	var since time.Time
	for !p.ended() {
		time.Sleep(membersEvery + time.Duration(position*1009))
		p.awaitThaw(name)
		store, acceptor := p.fleet.StoreOf(name), p.fleet.AcceptorOf(name)
		if store == nil || acceptor == nil {
			due = membership.Change{}
			continue
		}
		p.rejoin(name, store, acceptor)
		p.lock.Lock()
		listening := time.Since(p.started[name]) < settleTime
		follower := p.followers[name]
		p.lock.Unlock()
		if listening || !acceptor.Self().Voting || !follower.fresh() {
			due = membership.Change{}
			continue
		}
		view := p.viewWithSilence(name, store)
		change, wanted := membership.Next(view)
		if !wanted {
			due = membership.Change{}
			continue
		}
		if due.Members.Number != change.Members.Number || due.Reason != change.Reason {
			due, since = change, time.Now()
		}
		if time.Since(since) >= membership.Patience(view) {
			p.changeMembers(name, store, view.Current, change)
		}
	}
}

func (p *play) rejoin(name string, store *keystore.Store, acceptor *keystore.Acceptor) {
	ctx, cancel := bounded(changeBound)
	defer cancel()
	if votes, _ := store.CatchUp(ctx, acceptor); votes {
		p.lock.Lock()
		defer p.lock.Unlock()
		delete(p.empty, name)
	}
}

func (p *play) changeMembers(name string, store *keystore.Store, current keystore.Members, change membership.Change) {
	ctx, cancel := bounded(changeBound)
	defer cancel()
	slot, err := store.Change(ctx, keystore.MembersKey, func(slot keystore.Slot) (json.RawMessage, error) {
		var committed keystore.Members
		_ = json.Unmarshal(slot.Value, &committed)
		if committed.Number > current.Number {
			return nil, errors.New("members moved on")
		}
		return json.Marshal(change.Members)
	})
	p.awaitThaw(name)
	if err != nil {
		return
	}
	var committed keystore.Members
	if json.Unmarshal(slot.Value, &committed) == nil {
		p.noteMembers(committed)
		store.Adopt(committed)
	}
}

// noteMembers checks that no two acknowledged lists share a number.
func (p *play) noteMembers(committed keystore.Members) {
	p.lock.Lock()
	other, known := p.committed[committed.Number]
	p.committed[committed.Number] = committed
	p.lock.Unlock()
	if known && !reflect.DeepEqual(other, committed) {
		p.fail(fmt.Errorf("members %v and %v were both acknowledged", other, committed))
	}
}
