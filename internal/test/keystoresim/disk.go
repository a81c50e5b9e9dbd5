package keystoresim

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Disk is a simulated disk with one directory. It outlives the processes that use it. Each write that isn't synced may
// be lost or torn by a loss of power, and each name that was made without a sync of the directory may be lost by itself,
// with whatever the file holds.
type Disk struct {
	lock     sync.Mutex
	synced   map[string][]byte
	unsynced map[string][]unsyncedWrite
	names    map[string]nameState
	// stallDuration is added to the time of each operation.
	stallDuration time.Duration
	// rejecting counts the faults that have the disk reject writes at present.
	rejecting int
}

// nameState says whether a name is on the disk.
type nameState int

const (
	// nameCreated: the directory was not synced since the name was made.
	nameCreated nameState = iota
	nameSynced
)

type unsyncedWrite struct {
	offset  int64
	content []byte
}

// Errors of a Handle.
var (
	errRejected = errors.New("disk rejects writes")
	errKilled   = errors.New("process was killed")
)

// operationTime is how long a write or a sync takes.
const operationTime = 5 * time.Millisecond

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{synced: map[string][]byte{}, unsynced: map[string][]unsyncedWrite{}, names: map[string]nameState{}}
}

// Attach returns the directory as a new process has it.
func (d *Disk) Attach() *Handle { return &Handle{disk: d} }

// Handle is the directory of a disk as one process has it. It implements keystore.Directory.
type Handle struct {
	disk   *Disk
	killed bool
	// skipsSync makes Sync return at once with nothing done: a broken variant.
	skipsSync bool
	// SkipsDirectorySync makes SyncDirectory return at once with nothing done: a broken variant.
	SkipsDirectorySync bool
}

// applyWrite writes over content, which is lengthened with zeros where it is too short.
func applyWrite(content []byte, write unsyncedWrite) []byte {
	end := int(write.offset) + len(write.content)
	if len(content) < end {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[write.offset:], write.content)
	return content
}

// Kill ends the process: its later writes and syncs fail. What it wrote stays as it was.
func (h *Handle) Kill() {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.killed = true
}

// List returns the names in order.
func (h *Handle) List() ([]string, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return slices.Sorted(maps.Keys(h.disk.names)), nil
}

// Read returns what a process reads: also what isn't synced.
func (h *Handle) Read(name string) ([]byte, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	content := append([]byte(nil), h.disk.synced[name]...)
	for _, write := range h.disk.unsynced[name] {
		content = applyWrite(content, write)
	}
	return content, nil
}

// Prepare makes a name; files have no length of their own here.
func (h *Handle) Prepare(name string, _ int64) error {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	if _, exists := h.disk.names[name]; exists {
		return nil
	}
	if h.killed {
		return errKilled
	}
	if h.disk.rejecting > 0 {
		return errRejected
	}
	h.disk.names[name] = nameCreated
	return nil
}

// waitForDisk takes the time of one operation, and fails as the disk or the process does meanwhile.
func (h *Handle) waitForDisk() error {
	h.disk.lock.Lock()
	stall := h.disk.stallDuration
	rejecting := h.disk.rejecting
	h.disk.lock.Unlock()
	time.Sleep(operationTime + stall)
	if rejecting > 0 {
		return errRejected
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	if h.killed {
		return errKilled
	}
	return nil
}

// Write takes operationTime, and fails on a disk that rejects it and in a process that was killed meanwhile.
func (h *Handle) Write(name string, offset int64, content []byte) error {
	if err := h.waitForDisk(); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.disk.unsynced[name] = append(h.disk.unsynced[name], unsyncedWrite{
		offset:  offset,
		content: slices.Clone(content),
	})
	return nil
}

// Sync makes a file's writes durable, but not its name. It returns at once if nothing was written since the last one.
func (h *Handle) Sync(name string) error {
	if h.skipsSync || h.isClean(name) {
		return nil
	}
	if err := h.waitForDisk(); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	for _, write := range h.disk.unsynced[name] {
		h.disk.synced[name] = applyWrite(h.disk.synced[name], write)
	}
	delete(h.disk.unsynced, name)
	return nil
}

func (h *Handle) isClean(name string) bool {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return len(h.disk.unsynced[name]) == 0 && !h.killed
}

// SyncDirectory makes all names durable.
func (h *Handle) SyncDirectory() error {
	if h.SkipsDirectorySync {
		return nil
	}
	if err := h.waitForDisk(); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	for name := range h.disk.names {
		h.disk.names[name] = nameSynced
	}
	return nil
}
