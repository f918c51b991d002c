package storage

import (
	"errors"
	"os"
	"testing"
)

// Only one process at a time can lock a data directory. Locking writes no file.
func TestDataDirectoryLockIsExclusive(t *testing.T) {
	dir := t.TempDir()
	first, err := LockDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockDir(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("second lock of a locked directory: %v", err)
	}
	first.Release()
	second, err := LockDir(dir)
	if err != nil {
		t.Fatalf("after the first lock was released: %v", err)
	}
	second.Release()
	if entries, err := os.ReadDir(dir); err != nil || len(entries) > 0 {
		t.Errorf("files were written: %v, %v", entries, err)
	}
	if _, err := LockDir(dir + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing directory: %v", err)
	}
}
