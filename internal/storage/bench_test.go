package storage

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// BenchmarkBatch measures the cost of one acknowledged change: a batch of a record and
// the commit index of its partition, written and synced. syncs/op counts the syncs that
// the acknowledgement waits for.
func BenchmarkBatch(b *testing.B) {
	counter := countingDirectory{osDirectory(scratchDir(b)), new(int)}
	store, _, err := openDirectory(counter, 0, discardLog)
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	record, meta := make([]byte, 280), make([]byte, 80)
	*counter.syncs = 0
	began := processorTime(b)
	for b.Loop() {
		batch := []Entry{{"record/config/route/00000001", record}, {"meta/config", meta}}
		err := store.Write(batch)
		if err == nil && store.ShouldRewrite() {
			err = store.Rewrite(batch)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(*counter.syncs)/float64(b.N), "syncs/op")
}

// countingDirectory counts syncs.
type countingDirectory struct {
	osDirectory
	syncs *int
}

func (c countingDirectory) syncFile(f *os.File) error {
	*c.syncs++
	return c.osDirectory.syncFile(f)
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
