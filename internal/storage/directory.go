package storage

import (
	"os"
	"path/filepath"
)

// directory holds the file operations of the store, except for the appends that buntdb
// makes. Tests replace it to simulate failures and power loss before each operation.
type directory interface {
	path(name string) string
	read(name string) ([]byte, error)
	create(name string) (*os.File, error) // truncates an existing file
	open(name string) (*os.File, error)   // creates the file if it does not exist
	truncate(name string, size int64) error
	size(name string) (int64, error)
	remove(name string) error
	syncFile(f *os.File) error
	syncDir() error // makes created and removed directory entries durable
}

type osDirectory string

func (d osDirectory) path(name string) string          { return filepath.Join(string(d), name) }
func (d osDirectory) read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }
func (d osDirectory) create(name string) (*os.File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
}
func (d osDirectory) open(name string) (*os.File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
}
func (d osDirectory) truncate(name string, size int64) error { return os.Truncate(d.path(name), size) }
func (d osDirectory) size(name string) (int64, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
func (d osDirectory) remove(name string) error  { return os.Remove(d.path(name)) }
func (d osDirectory) syncFile(f *os.File) error { return f.Sync() }
func (d osDirectory) syncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
