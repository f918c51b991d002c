package storage

import (
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A disk that takes part of a batch and no more: buntdb cuts that part off. The
// store takes nothing until a rewrite, which may be refused too, and often.
func TestWritesOnFullDisk(t *testing.T) {
	f := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	f.open(0)
	f.change(Entry{"a", []byte("1")}, Entry{"b", []byte("1")})
	size := f.directorySize()

	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(size) + 10, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	large := Entry{"c", []byte(strings.Repeat("x", int(size)+100))}
	err := f.store.Write([]Entry{large})
	again := f.store.Write([]Entry{{"a", nil}})
	var rewrites [3]error
	for i := range rewrites {
		rewrites[i] = f.store.Rewrite([]Entry{large})
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err == nil || again == nil {
		t.Errorf("a full disk took a batch: %v, %v", err, again)
	}
	for _, err := range rewrites {
		if err == nil {
			t.Error("a full disk took a rewrite")
		}
	}
	if held := f.directorySize(); held != size {
		t.Errorf("the folder holds %d bytes instead of %d", held, size)
	}
	f.state["c"] = large.Value
	f.rewrite()
	f.change(Entry{"a", nil})
	f.store.Close()
	f.open(0)
	f.store.Close()
}

// When buntdb can't cut off the part of a batch it panics with its lock held:
// the store does not wait for that lock, and the next rewrite makes it good.
func TestBuntdbPanicHoldingItsLock(t *testing.T) {
	f := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{"a": []byte("1")}}
	store, _, err := Open(f.dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	f.store = store
	f.rewrite()
	// What buntdb does then, by a file that takes a part and can't be cut: a pipe.
	pipe := fullPipe(t)
	for _, fd := range descriptors(t, storeFile(t, f.dir)) {
		if fd != int(store.file.Fd()) {
			if err := syscall.Dup3(pipe, fd, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := store.Write([]Entry{{"a", make([]byte, 1<<20)}}); err == nil || !strings.Contains(err.Error(), "panicked") {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- store.Rewrite([]Entry{{"a", []byte("1")}}) }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the rewrite hangs")
	}
	f.change(Entry{"b", []byte("2")})
	store.Close()
	f.open(0)
	f.store.Close()
}

// fullPipe returns a pipe's end that takes a few bytes and then refuses.
func fullPipe(t *testing.T) int {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(ends[0]); syscall.Close(ends[1]) })
	return ends[1]
}

// descriptors returns those that are open on a path.
func descriptors(t *testing.T, path string) (fds []int) {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range all {
		if to, _ := os.Readlink("/proc/self/fd/" + e.Name()); to == path {
			fd, _ := strconv.Atoi(e.Name())
			fds = append(fds, fd)
		}
	}
	return fds
}

// failingDirectory is a folder that refuses syncs and removals while told to.
type failingDirectory struct {
	noSyncDirectory
	failing *bool
}

func (r failingDirectory) syncFile(*os.File) error { return r.err() }
func (r failingDirectory) syncDir() error          { return r.err() }
func (r failingDirectory) remove(name string) error {
	if err := r.err(); err != nil {
		return err
	}
	return r.noSyncDirectory.remove(name)
}
func (r failingDirectory) err() error {
	if *r.failing {
		return syscall.EIO
	}
	return nil
}

// After a rewrite that failed late its file may be whole and stay: nothing may
// then be appended to the one before, since a start would take the newer. Nor may
// a batch follow one that was not synced: torn, it would be damage then.
func TestNoAppendAfterFailedWrite(t *testing.T) {
	failing := false
	dir := failingDirectory{noSyncDirectory{osDirectory(scratchDir(t))}, &failing}
	store, _, err := openDirectory(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	one, two := Entry{"a", []byte("1")}, Entry{"b", []byte("2")}
	if err := store.Write([]Entry{one}); err != nil {
		t.Fatal(err)
	}
	failing = true
	if err := store.Rewrite([]Entry{one}); err == nil {
		t.Fatal("the rewrite was not refused")
	}
	failing = false
	if err := store.Write([]Entry{two}); err == nil {
		t.Error("a batch follows a refused rewrite")
	}
	if err := store.Rewrite([]Entry{one, two}); err != nil {
		t.Fatal(err)
	}
	failing = true
	if err := store.Write([]Entry{{"a", nil}}); err == nil {
		t.Error("a batch was not refused")
	}
	failing = false
	if err := store.Write([]Entry{{"a", nil}}); err == nil {
		t.Error("a batch follows one that was refused")
	}
	if err := store.Rewrite([]Entry{one, two}); err != nil {
		t.Fatal(err)
	}
	if err := store.Write([]Entry{{"a", nil}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store, state, err := openDirectory(dir, 0, discardLog)
	if err != nil || !sameState(state, map[string][]byte{"b": two.Value}) {
		t.Errorf("%q, %v", state, err)
	}
	store.Close()
}

// inode returns the number of an open file, whatever its name.
func inode(f *os.File) uint64 {
	info, err := f.Stat()
	if err != nil {
		return 0
	}
	return info.Sys().(*syscall.Stat_t).Ino
}
