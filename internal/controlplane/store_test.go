package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"madderwing/internal/settings"
	"madderwing/internal/storage"
)

var noLog = slog.New(slog.DiscardHandler)

// The queue returns jobs at once, reports itself idle once after them, and still returns jobs that
// remain after it was closed.
func TestWriteQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle = 100 * time.Millisecond
		queue := newWriteQueue()
		start := time.Now()
		expect := func(wanted queueState, count int, at time.Duration) {
			t.Helper()
			jobs, state := queue.take(idle)
			if state != wanted || len(jobs) != count || time.Since(start) != at {
				t.Errorf("%d jobs, state %d at %v, not %d, %d at %v", len(jobs), state, time.Since(start), count, wanted, at)
			}
		}
		expect(queueIdle, 0, idle)
		time.AfterFunc(5*idle, func() { queue.put(writeJob{id: 1}); queue.put(writeJob{id: 2}) })
		time.AfterFunc(5*idle+idle/2, func() { queue.put(writeJob{id: 3}) })
		time.AfterFunc(9*idle, queue.close)
		time.Sleep(5*idle + 1)
		expect(queueHasJobs, 2, 6*idle+1)
		expect(queueHasJobs, 1, 6*idle+idle/2)
		expect(queueIdle, 0, 7*idle+idle/2)
		expect(queueClosed, 0, 10*idle)
		queue.put(writeJob{id: 4})
		expect(queueHasJobs, 1, 10*idle)
		expect(queueClosed, 0, 10*idle)
	})
}

// A control node does not touch a data directory that another process has locked.
func TestStartWaitsForALockedDataDirectory(t *testing.T) {
	set := &settings.Settings{DataDir: t.TempDir(), Bounds: settings.Bounds{ContactS: 0.06}}
	other, err := storage.LockDir(set.DataDir)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := lockDataDir(ctx, set, noLog); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	time.AfterFunc(20*time.Millisecond, other.Release)
	lock, err := lockDataDir(t.Context(), set, noLog)
	if err != nil {
		t.Fatal(err)
	}
	lock.Release()
}

// A start waits while the disk returns errors, and fails at once for faults that only an operator
// can fix.
func TestOpenStore(t *testing.T) {
	const pause = time.Millisecond
	dir := t.TempDir()
	set := &settings.Settings{DataDir: dir}
	set.Bounds.ContactS = (12 * pause).Seconds()
	name := filepath.Join(dir, "store.1.db")
	if err := os.Mkdir(name, 0o700); err != nil { // a directory in place of the file: reading and removing it fail
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(name, "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*pause)
	defer cancel()
	if _, _, err := openStore(ctx, set, noLog); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a disk that returns errors: %v", err)
	}
	time.AfterFunc(5*pause, func() { os.RemoveAll(name) })
	store, state, err := openStore(context.Background(), set, noLog)
	if err != nil || len(state) != 0 {
		t.Fatal(err)
	}
	if err := store.Write([]storage.Entry{{Key: "a", Value: []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	set.DataDir = filepath.Join(dir, "absent")
	if _, _, err := openStore(context.Background(), set, noLog); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no data directory: %v", err)
	}
}
