package storage

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// ErrInUse means that another process has locked the data directory.
var ErrInUse = errors.New("another process has locked the data directory")

// Lock is an exclusive lock on a data directory. The operating system releases it when the process
// ends for any reason.
type Lock struct{ dir *os.File }

// LockDir locks a data directory for this process; call it before opening any file in it. It writes
// nothing, so that a process can start on a full disk. If the file system does not support locks, the
// directory is not locked and LockDir succeeds.
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

// Release unlocks the data directory.
func (l *Lock) Release() { l.dir.Close() }
