package configchange

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"ferryspar/internal/apierror"
)

// Call is an operator's request to change the configuration.
type Call struct {
	// Method is the HTTP method: PUT replaces the whole configuration, PATCH changes named items.
	Method string
	// Condition is the revision that the change is based on.
	Condition int64
	Body      []byte
}

// digest identifies a call by its content.
type digest [sha256.Size]byte

func (c Call) digest() digest {
	hash := sha256.New()
	hash.Write([]byte(c.Method + "\n"))
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(c.Condition)))
	hash.Write(c.Body)
	return digest(hash.Sum(nil))
}

// ExecuteFunc executes a call at this node within a bounded time. Its errors are of package apierror.
type ExecuteFunc func(call Call) error

// Executor executes calls at this node. A call equal to one in progress joins that one: it would only wait for the same key and
// then be decided a second time. It is safe for concurrent use.
type Executor struct {
	execute ExecuteFunc

	lock    sync.Mutex
	running map[digest]*execution
}

// execution is a call in progress. err is set before done is closed.
type execution struct {
	done chan struct{}
	err  error
}

// NewExecutor returns an executor without calls in progress.
func NewExecutor(execute ExecuteFunc) *Executor {
	return &Executor{execute: execute, running: map[digest]*execution{}}
}

// Do executes a call, or joins an equal call in progress, and returns its error. If ctx ends first, the call continues and Do
// returns an error that leaves the outcome open.
func (e *Executor) Do(ctx context.Context, call Call) error {
	return e.start(call).await(ctx)
}

func (e *Executor) start(call Call) *execution {
	e.lock.Lock()
	defer e.lock.Unlock()
	identity := call.digest()
	if joined := e.running[identity]; joined != nil {
		return joined
	}
	started := &execution{done: make(chan struct{})}
	e.running[identity] = started
	go func() {
		started.err = e.execute(call)
		e.lock.Lock()
		delete(e.running, identity)
		e.lock.Unlock()
		close(started.done)
	}()
	return started
}

// find returns the execution of a call in progress, or nil.
func (e *Executor) find(identity digest) *execution {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.running[identity]
}

func (x *execution) await(ctx context.Context) error {
	select {
	case <-x.done:
		return x.err
	case <-ctx.Done():
		return apierror.New(apierror.UncertainWrite, "")
	}
}
