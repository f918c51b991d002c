package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"madderwing/internal/apierror"
	"madderwing/internal/replication"
	"madderwing/internal/storage"
)

// Records are replaced at random until many calls were refused for lack of room. Throughout, the
// file can be rewritten. Changes that shrink the state are always admitted, and then there is room
// again.
func TestDiskRoomLeavesRoomForRewrites(t *testing.T) {
	const diskBytes = 1 << 20
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 22))
		store, _, err := storage.Open(memoryDir(t), diskBytes, noLog)
		if err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		room := &diskRoom{}
		room.update(store)
		have := records{}
		largest := []int{0, 200, 20_000}[seed%3]
		refused := 0
		for i := 0; refused < 50; i++ {
			if i > 30_000 {
				t.Fatalf("seed %d: %d calls refused, %d bytes", seed, refused, store.LiveSize())
			}
			r := replication.Record{Name: fmt.Sprintf("record/%032d", rng.IntN(20_000)), Data: make([]byte, rng.IntN(largest+1))}
			if err := room.admit(have, []replication.Record{r}); err != nil {
				if apierror.KindOf(err) != apierror.BodyTooLarge {
					t.Fatal(err)
				}
				refused++
				if store.LiveSize() > diskBytes/2 {
					t.Fatalf("seed %d: first refused at %d bytes, too late for a rewrite", seed, store.LiveSize())
				}
				continue
			}
			have[r.Name] = r
			writeRecords(t, store, have, r)
			room.update(store)
		}
		if store.LiveSize() < diskBytes/4 {
			t.Errorf("seed %d: refused at %d bytes, too early", seed, store.LiveSize())
		}
		for _, name := range slices.Sorted(maps.Keys(have))[:len(have)/2] {
			r := replication.Record{Name: name, Erased: true}
			if err := room.admit(have, []replication.Record{r}); err != nil {
				t.Fatalf("seed %d: a removal is refused: %v", seed, err)
			}
			delete(have, name)
			writeRecords(t, store, have, r)
			room.update(store)
		}
		if err := room.admit(have, []replication.Record{{Name: "new", Data: make([]byte, diskBytes/16)}}); err != nil {
			t.Errorf("seed %d: no room after removals: %v", seed, err)
		}
	}
}

// memoryDir returns a directory in memory where the system has one, because the test waits for many
// syncs.
func memoryDir(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "storage")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// writeRecords writes a record as the replica does, and a snapshot when a rewrite is due.
func writeRecords(t *testing.T, store *storage.Store, have records, r replication.Record) {
	t.Helper()
	entry := func(r replication.Record) storage.Entry {
		if r.Erased {
			return storage.Entry{Key: r.Name}
		}
		return storage.Entry{Key: r.Name, Value: append([]byte{}, r.Data...)}
	}
	err := store.Write([]storage.Entry{entry(r)})
	if err == nil && !store.ShouldRewrite() {
		return
	}
	if err != nil && !errors.Is(err, storage.ErrRewriteRequired) {
		t.Fatal(err)
	}
	var all []storage.Entry
	for _, r := range have {
		all = append(all, entry(r))
	}
	if err := store.Rewrite(all); err != nil {
		t.Fatalf("%d bytes: %v", store.LiveSize(), err)
	}
}
