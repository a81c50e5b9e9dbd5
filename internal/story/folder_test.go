package story

import (
	"sync"
	"time"
)

type memoryFolder struct {
	lock  sync.Mutex
	files map[string][]byte
}

func (m *memoryFolder) Read(name string) ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return append([]byte(nil), m.files[name]...), nil
}

func (m *memoryFolder) Prepare(name string, size int64) error { return nil }

func (m *memoryFolder) Write(name string, offset int64, content []byte) error {
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

func (m *memoryFolder) Sync(name string) error {
	time.Sleep(5 * time.Millisecond)
	return nil
}
