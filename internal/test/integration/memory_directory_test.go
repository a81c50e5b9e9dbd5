package integration

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

// memoryDirectory is the data directory of a member. Writes persist unless losePower is called: then each file has the
// content that it had when it was last synced.
type memoryDirectory struct {
	lock   sync.Mutex
	files  map[string][]byte
	synced map[string][]byte
}

func (d *memoryDirectory) losePower() {
	d.lock.Lock()
	defer d.lock.Unlock()
	for name := range d.files {
		d.files[name] = slices.Clone(d.synced[name])
	}
}

func (d *memoryDirectory) List() ([]string, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *memoryDirectory) Read(name string) ([]byte, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	return append([]byte(nil), d.files[name]...), nil
}

func (d *memoryDirectory) Prepare(name string, _ int64) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if _, exists := d.files[name]; !exists {
		d.files[name] = nil
	}
	return nil
}

func (d *memoryDirectory) Write(name string, offset int64, content []byte) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	stored := d.files[name]
	if end := int(offset) + len(content); len(stored) < end {
		stored = append(stored, make([]byte, end-len(stored))...)
	}
	copy(stored[offset:], content)
	d.files[name] = stored
	return nil
}

func (d *memoryDirectory) Sync(name string) error {
	time.Sleep(5 * time.Millisecond)
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.synced == nil {
		d.synced = map[string][]byte{}
	}
	d.synced[name] = slices.Clone(d.files[name])
	return nil
}

func (d *memoryDirectory) SyncDirectory() error {
	time.Sleep(5 * time.Millisecond)
	return nil
}

// remove deletes a file, as a lost directory entry does.
func (d *memoryDirectory) remove(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.files, name)
}

// freezableDirectory blocks writes to the disk of a frozen machine.
type freezableDirectory struct {
	keystore.Directory
	network *memoryNetwork
	host    string
}

func (d freezableDirectory) Write(name string, offset int64, content []byte) error {
	d.network.waitThawed(d.host)
	return d.Directory.Write(name, offset, content)
}

func (d freezableDirectory) Sync(name string) error {
	d.network.waitThawed(d.host)
	return d.Directory.Sync(name)
}
