package rehearsal

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type Disk struct {
	lock    sync.Mutex
	synced  map[string][]byte
	loose   map[string][]looseWrite
	stall   time.Duration
	refuses int
}

type looseWrite struct {
	offset  int64
	content []byte
}

func NewDisk() *Disk {
	return &Disk{synced: map[string][]byte{}, loose: map[string][]looseWrite{}}
}

func (d *Disk) attach() *Handle { return &Handle{disk: d} }

type Handle struct {
	disk     *Disk
	gone     bool
	unsynced bool
}

func overlay(content []byte, write looseWrite) []byte {
	end := int(write.offset) + len(write.content)
	if len(content) < end {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[write.offset:], write.content)
	return content
}

func (h *Handle) Read(name string) ([]byte, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	content := append([]byte(nil), h.disk.synced[name]...)
	for _, write := range h.disk.loose[name] {
		content = overlay(content, write)
	}
	return content, nil
}

func (h *Handle) Prepare(name string, size int64) error { return nil }

func (h *Handle) wait() error {
	h.disk.lock.Lock()
	stall := h.disk.stall
	refuses := h.disk.refuses
	h.disk.lock.Unlock()
	time.Sleep(5*time.Millisecond + stall)
	if refuses > 0 {
		return errors.New("disk refuses")
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	if h.gone {
		return errors.New("process is dead")
	}
	return nil
}

func (h *Handle) Write(name string, offset int64, content []byte) error {
	if err := h.wait(); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.disk.loose[name] = append(h.disk.loose[name], looseWrite{offset, append([]byte(nil), content...)})
	return nil
}

func (h *Handle) Sync(name string) error {
	if h.unsynced {
		return nil
	}
	if err := h.wait(); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	for _, write := range h.disk.loose[name] {
		h.disk.synced[name] = overlay(h.disk.synced[name], write)
	}
	delete(h.disk.loose, name)
	return nil
}

func (d *Disk) LosePower(draw *rand.Rand) {
	d.lock.Lock()
	defer d.lock.Unlock()
	all := draw.IntN(4) == 0
	for _, name := range slices.Sorted(maps.Keys(d.loose)) {
		for _, write := range d.loose[name] {
			fate := draw.IntN(3)
			if all || fate == 0 {
				continue
			}
			if fate == 1 {
				write.content = write.content[:draw.IntN(len(write.content)+1)]
			}
			d.synced[name] = overlay(d.synced[name], write)
		}
	}
	d.loose = map[string][]looseWrite{}
}

func (d *Disk) wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.synced, d.loose = map[string][]byte{}, map[string][]looseWrite{}
}

func (d *Disk) trouble(stall time.Duration, refuses int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stall += stall
	d.refuses += refuses
}
