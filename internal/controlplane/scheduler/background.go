package scheduler

import "sync"

// callbackBacklog is how many callbacks may wait for the planning loop.
const callbackBacklog = 64

// background runs tasks on goroutines of their own and hands what they return to the planning loop, so that what is known of
// replicas is changed there alone.
type background struct {
	// callbacks are functions for the planning loop to call.
	callbacks chan func()
	// workers counts the running tasks.
	workers sync.WaitGroup
	// closed is closed when the planning loop ends: callbacks are dropped from then on.
	closed chan struct{}
}

func newBackground() *background {
	return &background{callbacks: make(chan func(), callbackBacklog), closed: make(chan struct{})}
}

// run runs a task on a goroutine of its own, and then what it returns in the planning loop unless that has ended. The
// planning loop alone calls it.
func (b *background) run(task func() (callback func())) {
	b.workers.Go(func() {
		callback := task()
		select {
		case b.callbacks <- callback:
		case <-b.closed:
		}
	})
}

// close drops all further callbacks and waits for the running tasks.
func (b *background) close() {
	close(b.closed)
	b.workers.Wait()
}
