package storage

import (
	"errors"
	"os"
	"testing"
)

// A data directory has one process at a time, and is free once that has let go of it.
func TestDataDirectoryLockIsExclusive(t *testing.T) {
	dir := t.TempDir()
	first, err := LockDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockDir(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("a second process: %v", err)
	}
	first.Release()
	second, err := LockDir(dir)
	if err != nil {
		t.Fatalf("after the first has gone: %v", err)
	}
	second.Release()
	if entries, err := os.ReadDir(dir); err != nil || len(entries) > 0 {
		t.Errorf("%v was written, %v", entries, err)
	}
	if _, err := LockDir(dir + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a directory that is not there: %v", err)
	}
}
