package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since its start.
type record struct {
	lock    sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, buffer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *record) write(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf(format, values...)
	fmt.Fprintf(r.buffer, "%8.3f  %s\n", time.Since(r.started).Seconds(), line)
	_ = r.buffer.Flush()
}

func (r *record) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
