package keystoresim

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Disk is a simulated disk with one directory. It outlives the processes that use it. A power loss may lose or tear each
// unsynced write. It may also lose, independently, each name that was created since the last sync of the directory, together
// with the file's content.
type Disk struct {
	lock     sync.Mutex
	synced   map[string][]byte
	unsynced map[string][]unsyncedWrite
	names    map[string]nameState
	// stallDuration is added to the duration of each operation.
	stallDuration time.Duration
	// rejecting is the number of current faults that make the disk reject writes.
	rejecting int
}

// nameState is whether a directory entry is durable.
type nameState int

const (
	// nameCreated means that the directory was not synced since the name was created.
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

// operationTime is the duration of a write or a sync.
const operationTime = 5 * time.Millisecond

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{synced: map[string][]byte{}, unsynced: map[string][]unsyncedWrite{}, names: map[string]nameState{}}
}

// Attach returns a handle of the directory for a new process.
func (d *Disk) Attach() *Handle { return &Handle{disk: d} }

// Handle is one process's handle of a disk's directory. It implements keystore.Directory.
type Handle struct {
	disk   *Disk
	killed bool
	// skipsSync makes Sync do nothing, as an injected fault.
	skipsSync bool
	// SkipsDirectorySync makes SyncDirectory do nothing, as an injected fault.
	SkipsDirectorySync bool
}

// applyWrite overwrites part of content, after extending it with zeros if it is too short.
func applyWrite(content []byte, write unsyncedWrite) []byte {
	end := int(write.offset) + len(write.content)
	if len(content) < end {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[write.offset:], write.content)
	return content
}

// Kill ends the process: its later writes and syncs fail. Its earlier writes are kept.
func (h *Handle) Kill() {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.killed = true
}

// List returns the names in sorted order.
func (h *Handle) List() ([]string, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return slices.Sorted(maps.Keys(h.disk.names)), nil
}

// Read returns a file's content, including unsynced writes.
func (h *Handle) Read(name string) ([]byte, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	content := append([]byte(nil), h.disk.synced[name]...)
	for _, write := range h.disk.unsynced[name] {
		content = applyWrite(content, write)
	}
	return content, nil
}

// Prepare creates a name. The length is ignored, as files are not preallocated here.
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

// waitForDisk waits for the duration of one operation. It fails if the disk rejects the operation or the process is killed
// meanwhile.
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

// Write writes content without syncing it. It takes operationTime, and fails if the disk rejects the write or the process is
// killed meanwhile.
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

// Sync makes a file's writes durable, but not its name. It returns immediately if nothing was written since the last sync.
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
