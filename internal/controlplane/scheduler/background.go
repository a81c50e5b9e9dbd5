package scheduler

import "sync"

// callbackBacklog is the capacity of the queue of callbacks to the planning loop.
const callbackBacklog = 64

// background runs tasks on separate goroutines and passes the callbacks that they return to the planning loop, so that only
// the planning loop changes replica state.
type background struct {
	// callbacks holds the functions that the planning loop has to call.
	callbacks chan func()
	// workers counts the running tasks.
	workers sync.WaitGroup
	// closed is closed when the planning loop ends; callbacks are dropped from then on.
	closed chan struct{}
}

func newBackground() *background {
	return &background{callbacks: make(chan func(), callbackBacklog), closed: make(chan struct{})}
}

// run runs a task on a new goroutine and then passes the callback that it returned to the planning loop, unless that has
// ended. Only the planning loop calls it.
func (b *background) run(task func() (callback func())) {
	b.workers.Go(func() {
		callback := task()
		select {
		case b.callbacks <- callback:
		case <-b.closed:
		}
	})
}

// close drops all further callbacks and waits for the running tasks to end.
func (b *background) close() {
	close(b.closed)
	b.workers.Wait()
}
