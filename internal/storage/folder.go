package storage

import (
	"os"
	"path/filepath"
)

// folder is what the store does to files beside appending by buntdb. Tests put
// a loss of power before each step.
type folder interface {
	path(name string) string
	read(name string) ([]byte, error)
	create(name string) (*os.File, error) // an empty one
	open(name string) (*os.File, error)   // made if it isn't there
	truncate(name string, size int64) error
	size(name string) (int64, error)
	remove(name string) error
	sync(f *os.File) error
	syncNames() error // makes names durable that were made, changed or removed
}

type osFolder string

func (d osFolder) path(name string) string          { return filepath.Join(string(d), name) }
func (d osFolder) read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }
func (d osFolder) create(name string) (*os.File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
}
func (d osFolder) open(name string) (*os.File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
}
func (d osFolder) truncate(name string, size int64) error { return os.Truncate(d.path(name), size) }
func (d osFolder) size(name string) (int64, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
func (d osFolder) remove(name string) error { return os.Remove(d.path(name)) }
func (d osFolder) sync(f *os.File) error    { return f.Sync() }
func (d osFolder) syncNames() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
