package integration

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// memoryDirectory is a member's data folder. All that is written to it lasts, unless losePower is called:
// then the content of each file is what it was when it was last synced.
type memoryDirectory struct {
	lock   sync.Mutex
	files  map[string][]byte
	synced map[string][]byte
}

func (m *memoryDirectory) losePower() {
	m.lock.Lock()
	defer m.lock.Unlock()
	for name := range m.files {
		m.files[name] = slices.Clone(m.synced[name])
	}
}

func (m *memoryDirectory) List() ([]string, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryDirectory) Read(name string) ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return append([]byte(nil), m.files[name]...), nil
}

func (m *memoryDirectory) Prepare(name string, _ int64) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if _, exists := m.files[name]; !exists {
		m.files[name] = nil
	}
	return nil
}

func (m *memoryDirectory) Write(name string, offset int64, content []byte) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	held := m.files[name]
	if end := int(offset) + len(content); len(held) < end {
		held = append(held, make([]byte, end-len(held))...)
	}
	copy(held[offset:], content)
	m.files[name] = held
	return nil
}

func (m *memoryDirectory) Sync(name string) error {
	time.Sleep(5 * time.Millisecond)
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.synced == nil {
		m.synced = map[string][]byte{}
	}
	m.synced[name] = slices.Clone(m.files[name])
	return nil
}

func (m *memoryDirectory) SyncDirectory() error {
	time.Sleep(5 * time.Millisecond)
	return nil
}

// remove takes a file away, as a lost name does.
func (m *memoryDirectory) remove(name string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.files, name)
}

// wipe gives a dead machine an empty disk.
func (f *fleet) wipe(host string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.folders[host] = &memoryDirectory{files: map[string][]byte{}}
}

// losePower loses what a dead machine's disk had not synced.
func (f *fleet) losePower(host string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.folders[host].(*memoryDirectory).losePower()
}
