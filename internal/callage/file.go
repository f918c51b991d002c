package callage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fileName is the name of the file in a node's data directory that holds the saved ages.
const fileName = "call-ages.cbor"

// Load reads the ages that were saved in a directory. Without a readable file there are none.
func Load(dir string) (ages map[uint64]time.Duration, err error) {
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		err = cbor.Unmarshal(data, &ages)
	}
	if err != nil {
		return nil, err
	}
	return ages, nil
}

// Save replaces the ages that are saved in a directory. It does not sync: what a loss of power
// destroys only makes ages smaller.
func Save(dir string, ages map[uint64]time.Duration) error {
	data, err := cbor.Marshal(ages)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
