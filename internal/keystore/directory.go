package keystore

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// Directory is the directory on a member's disk that holds the segments of its write-ahead log. After a loss of power a
// name may be gone, by itself, unless SyncDirectory has returned nil since it was made; of what was written since a file's
// last Sync, each write may be there, missing or torn.
type Directory interface {
	// List returns the names in the directory.
	List() ([]string, error)
	// Read returns a file's content, and nothing for a name that doesn't exist. It may leave out what follows
	// zeroRunBytes zeros: no record holds as many, so none is found behind them.
	Read(name string) ([]byte, error)
	// Prepare opens a file for Write and Sync. It makes it if it doesn't exist, lengthens it with zeros to size
	// bytes and syncs it then; it never shortens it or changes what it holds.
	Prepare(name string, size int64) error
	// Write writes to a prepared file.
	Write(name string, offset int64, content []byte) error
	// Sync returns once all that was written to the file is on the disk.
	Sync(name string) error
	// SyncDirectory returns once the names in the directory, and the directory's own, are on the disk.
	SyncDirectory() error
}

const (
	directoryMode = 0o755
	fileMode      = 0o644
	// reservedBytes is how much of each file is written with zeros when it is made, so that a disk that is full
	// later still takes a new generation there. The rest is only lengthened: an append that a full disk rejects
	// there makes the log go on at the start of the next segment. Limited because it is a part of the first start.
	reservedBytes = 1 << 20
	// zeroChunkBytes is the length of one write of zeros.
	zeroChunkBytes = 256 << 10
	// maxZeroRunBytes is how many zeros end what is read of a file. Records are text but for their headers.
	maxZeroRunBytes = 64 << 10
)

// osDirectory is a Directory of the operating system.
type osDirectory struct {
	path  string
	files map[string]*os.File
	// created are the directories that were made here, whose parents must be synced too.
	created []string
}

// NewDirectory returns the directory at a path, which is made if it doesn't exist.
func NewDirectory(path string) (Directory, error) {
	directory := &osDirectory{path: path, files: map[string]*os.File{}}
	for ancestor := filepath.Clean(path); ; ancestor = filepath.Dir(ancestor) {
		if _, err := os.Stat(ancestor); !os.IsNotExist(err) || ancestor == filepath.Dir(ancestor) {
			break
		}
		directory.created = append(directory.created, ancestor)
	}
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	return directory, nil
}

// List implements Directory.
func (d *osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for position, entry := range entries {
		names[position] = entry.Name()
	}
	return names, nil
}

// Read implements Directory.
func (d *osDirectory) Read(name string) ([]byte, error) {
	file, err := os.Open(filepath.Join(d.path, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return readUntilZeros(file)
}

// readUntilZeros reads up to the end or to a run of zeros, which it keeps: most of a preallocated file is zeros.
func readUntilZeros(file io.Reader) ([]byte, error) {
	var content []byte
	zeros := make([]byte, maxZeroRunBytes)
	for {
		from := len(content)
		content = slices.Grow(content, maxZeroRunBytes)[:from+maxZeroRunBytes]
		read, err := io.ReadFull(file, content[from:])
		content = content[:from+read]
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return content, nil
		}
		if err != nil || bytes.Equal(content[from:], zeros) {
			return content, err
		}
	}
}

// Prepare implements Directory.
func (d *osDirectory) Prepare(name string, size int64) error {
	file, err := d.open(name)
	if err != nil {
		return err
	}
	information, err := file.Stat()
	if err != nil || information.Size() >= size {
		return err
	}
	if err := writeZeros(file, information.Size(), min(size, reservedBytes)); err != nil {
		return err
	}
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (d *osDirectory) open(name string) (*os.File, error) {
	if file, opened := d.files[name]; opened {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	d.files[name] = file
	return file, nil
}

// writeZeros writes zeros from one offset to another, so that the disk allocates blocks for them.
func writeZeros(file io.WriterAt, from, to int64) error {
	zeros := make([]byte, zeroChunkBytes)
	for from < to {
		written, err := file.WriteAt(zeros[:min(to-from, zeroChunkBytes)], from)
		if err != nil {
			return err
		}
		from += int64(written)
	}
	return nil
}

// Write implements Directory.
func (d *osDirectory) Write(name string, offset int64, content []byte) error {
	_, err := d.files[name].WriteAt(content, offset)
	return err
}

// Sync implements Directory.
func (d *osDirectory) Sync(name string) error { return d.files[name].Sync() }

// SyncDirectory implements Directory. It syncs the parent of a directory that it didn't make as well, since an earlier
// process may have made it and died before the sync; there a parent that can't be synced is no error.
func (d *osDirectory) SyncDirectory() error {
	if err := syncDirectoryPath(d.path); err != nil {
		return err
	}
	for _, created := range d.created {
		if err := syncDirectoryPath(filepath.Dir(created)); err != nil {
			return err
		}
	}
	if len(d.created) == 0 {
		_ = syncDirectoryPath(filepath.Dir(filepath.Clean(d.path)))
	}
	return nil
}

// syncDirectoryPath syncs a directory; a file system that has no such sync is passed over.
func syncDirectoryPath(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	err = directory.Sync()
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}
