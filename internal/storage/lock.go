package storage

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// ErrInUse says that another process has the data directory.
var ErrInUse = errors.New("another process has the data directory")

// Lock is one process's hold on a data directory. It ends with the process, however that ends.
type Lock struct{ dir *os.File }

// LockDir takes a data directory for this process, before any file in it is opened. It writes
// nothing, so that a full disk does not keep a process from starting. Where the file system knows no
// locks, there is none.
func LockDir(path string) (*Lock, error) {
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(dir.Fd()), unix.LOCK_EX|unix.LOCK_NB); errors.Is(err, unix.EWOULDBLOCK) {
		dir.Close()
		return nil, ErrInUse
	}
	return &Lock{dir}, nil
}

// Release gives the data directory back.
func (l *Lock) Release() { l.dir.Close() }
