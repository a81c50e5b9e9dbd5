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

// Directory is the directory on a member's disk that holds the segments of its write-ahead log. After a power failure a
// file may be missing from the directory unless SyncDirectory has returned nil since its creation. Each write to a file
// since its last Sync may be complete, missing or torn.
type Directory interface {
	// List returns the names in the directory.
	List() ([]string, error)
	// Read returns a file's content, and nothing for a name that doesn't exist. It may omit everything after a run of
	// maxZeroRunBytes zeros: no record contains as many, so no record follows them.
	Read(name string) ([]byte, error)
	// Prepare opens a file for Write and Sync. It creates the file if necessary, extends it with zeros to size bytes,
	// and syncs it if it was extended. It never shortens the file or modifies its content.
	Prepare(name string, size int64) error
	// Write writes to a prepared file.
	Write(name string, offset int64, content []byte) error
	// Sync returns once everything written to the file is on disk.
	Sync(name string) error
	// SyncDirectory returns once the names in the directory, and the directory's own name, are on disk.
	SyncDirectory() error
}

const (
	directoryMode = 0o755
	fileMode      = 0o644
	// reservedBytes is how much of each new file is filled with zeros, so that a new generation can still be written
	// there when the disk is full later. The rest of the file is only extended: when a full disk rejects an append
	// there, the log continues at the start of the next segment. The size is limited because it adds to the time of the
	// first start.
	reservedBytes = 1 << 20
	// zeroChunkBytes is the length of one write of zeros.
	zeroChunkBytes = 256 << 10
	// maxZeroRunBytes is the length of a run of zeros at which reading of a file ends. Records are text except for
	// their headers.
	maxZeroRunBytes = 64 << 10
)

// osDirectory is a Directory of the operating system.
type osDirectory struct {
	path  string
	files map[string]*os.File
	// created are the directories that NewDirectory created, whose parents must be synced too.
	created []string
}

// NewDirectory returns the directory at a path, and creates it if it doesn't exist.
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

// readUntilZeros reads up to the end of the file or the end of a run of zeros: most of a preallocated file is zeros.
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

// writeZeros writes zeros from one offset to another, so that the file system allocates blocks for them.
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

// SyncDirectory implements Directory. If this process didn't create the directory it syncs the parent as well, since an
// earlier process may have created it and been killed before the sync. In this case it is no error if the parent can't
// be synced.
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

// syncDirectoryPath syncs a directory, and succeeds on file systems that don't support it.
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
