package keystore

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

type osFolder struct {
	path  string
	files map[string]*os.File
}

func NewFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return &osFolder{path: path, files: map[string]*os.File{}}, nil
}

func (f *osFolder) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(f.path, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return content, err
}

func (f *osFolder) Prepare(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	f.files[name] = file
	information, err := file.Stat()
	if err != nil {
		return err
	}
	if information.Size() == size {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f *osFolder) Write(name string, offset int64, content []byte) error {
	_, err := f.files[name].WriteAt(content, offset)
	return err
}

func (f *osFolder) Sync(name string) error { return f.files[name].Sync() }
