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

// A full disk accepts only part of a batch, and buntdb truncates that part. The store
// then refuses batches until a rewrite succeeds; rewrites may fail several times before.
func TestWritesOnFullDisk(t *testing.T) {
	tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	tracked.open(0)
	tracked.change(Entry{"a", []byte("1")}, Entry{"b", []byte("1")})
	size := tracked.directorySize()

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
	err := tracked.store.Write([]Entry{large})
	again := tracked.store.Write([]Entry{{"a", nil}})
	var rewrites [3]error
	for i := range rewrites {
		rewrites[i] = tracked.store.Rewrite([]Entry{large})
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err == nil || again == nil {
		t.Errorf("a batch was accepted on a full disk: %v, %v", err, again)
	}
	for _, err := range rewrites {
		if err == nil {
			t.Error("a rewrite succeeded on a full disk")
		}
	}
	if held := tracked.directorySize(); held != size {
		t.Errorf("the directory holds %d bytes, want %d", held, size)
	}
	tracked.state["c"] = large.Value
	tracked.rewrite()
	tracked.change(Entry{"a", nil})
	tracked.store.Close()
	tracked.open(0)
	tracked.store.Close()
}

// If buntdb can't truncate a partly written batch, it panics holding its lock. The store
// must not wait for that lock, and the next rewrite must succeed.
func TestBuntdbPanicHoldingItsLock(t *testing.T) {
	tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{"a": []byte("1")}}
	store, _, err := Open(tracked.dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	tracked.store = store
	tracked.rewrite()
	// Replace buntdb's file by a pipe, which accepts part of a write and can't be truncated.
	pipe := fullPipe(t)
	for _, fd := range descriptors(t, storeFile(t, tracked.dir)) {
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
		t.Fatal("the rewrite did not return within 10 s")
	}
	tracked.change(Entry{"b", []byte("2")})
	store.Close()
	tracked.open(0)
	tracked.store.Close()
}

// fullPipe returns the write end of a non-blocking pipe that nobody reads: it accepts what
// fits into the pipe's buffer and then returns an error.
func fullPipe(t *testing.T) int {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(ends[0]); syscall.Close(ends[1]) })
	return ends[1]
}

// descriptors returns the file descriptors that are open on a path.
func descriptors(t *testing.T, path string) (fds []int) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if to, _ := os.Readlink("/proc/self/fd/" + e.Name()); to == path {
			fd, _ := strconv.Atoi(e.Name())
			fds = append(fds, fd)
		}
	}
	return fds
}

// failingDirectory is a directory whose syncs and removals fail while *failing is true.
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

// A failed rewrite may leave a complete new file. Nothing may then be appended to the
// old file, because a start would choose the new one. Nor may a batch follow one whose
// sync failed: if that one is torn, a start would take it for damage.
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
		t.Fatal("the rewrite did not fail")
	}
	failing = false
	if err := store.Write([]Entry{two}); err == nil {
		t.Error("a batch was accepted after a failed rewrite")
	}
	if err := store.Rewrite([]Entry{one, two}); err != nil {
		t.Fatal(err)
	}
	failing = true
	if err := store.Write([]Entry{{"a", nil}}); err == nil {
		t.Error("the batch did not fail")
	}
	failing = false
	if err := store.Write([]Entry{{"a", nil}}); err == nil {
		t.Error("a batch was accepted after a failed one")
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

// inode returns the inode number of an open file.
func inode(f *os.File) uint64 {
	info, err := f.Stat()
	if err != nil {
		return 0
	}
	return info.Sys().(*syscall.Stat_t).Ino
}
