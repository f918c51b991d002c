package storage

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// BenchmarkBatch is what one acknowledged change costs: a record and the mark of
// how far its partition is committed, written and synced. syncs/op are those that
// an acknowledgement waits for.
func BenchmarkBatch(b *testing.B) {
	counter := counting{osFolder(scratch(b)), new(int)}
	l, _, err := open(counter, 0, quiet)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	record, meta := make([]byte, 280), make([]byte, 80)
	*counter.syncs = 0
	began := processorTime(b)
	for b.Loop() {
		batch := []Entry{{"record/config/route/00000001", record}, {"meta/config", meta}}
		err := l.Write(batch)
		if err == nil && l.Full() {
			err = l.Rewrite(batch)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(*counter.syncs)/float64(b.N), "syncs/op")
}

// counting counts syncs.
type counting struct {
	osFolder
	syncs *int
}

func (c counting) sync(f *os.File) error {
	*c.syncs++
	return c.osFolder.sync(f)
}

// processorTime is what this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
