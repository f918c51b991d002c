package storage

// This file recovers the state at start from the files in the data directory.

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
)

// Open opens the store in dir and returns its state, which is then durable. A torn last
// batch, which was never synced, is ignored. If synced data is damaged or missing, the
// files are removed except for an excerpt, and Open returns an error that wraps ErrDamaged
// together with an empty, usable store. With ErrNewerFormat the files are left unchanged.
// The files in dir take at most diskSize bytes (0: 64 MiB) as long as the state takes at
// most half of that.
func Open(dir string, diskSize int64, logger *slog.Logger) (*Store, map[string][]byte, error) {
	return openDirectory(osDirectory(dir), diskSize, logger)
}

func openDirectory(dir directory, diskSize int64, logger *slog.Logger) (*Store, map[string][]byte, error) {
	s := &Store{dir: dir, diskSize: diskSize, log: logger}
	if diskSize <= 0 {
		s.diskSize = defaultDiskSize
	}
	found, err := s.readFiles()
	if err != nil {
		return nil, nil, err
	}
	if err := s.mark.load(dir); err != nil {
		return nil, nil, err
	}
	if err := s.truncateExcerpts(excerptName, legacyDamagedName); err != nil {
		return nil, nil, err
	}
	chosen := newest(found)
	damage := chosen.damage
	if damage == nil && chosen.lastBatch < s.mark.batch {
		damage = &damageError{int(chosen.validEnd), fmt.Sprintf("batch %d was synced, but the last batch found is %d", s.mark.batch, chosen.lastBatch)}
	}
	if damage != nil {
		if err := s.discardDamaged(chosen, damage); err != nil {
			return nil, nil, err
		}
		s.lastBatch = max(chosen.lastBatch, s.mark.batch)
		chosen, found = candidate{}, nil
	}
	if err := s.resume(chosen, found); err != nil {
		s.mark.close()
		_ = s.closeFile()
		return nil, nil, err
	}
	if chosen.state == nil {
		chosen.state = map[string][]byte{}
	}
	return s, chosen.state, damage
}

// candidate is a file from which a start may recover the state.
type candidate struct {
	name      string
	state     map[string][]byte
	validEnd  int64  // offset at which the last complete batch ends
	size      int64  // bytes of the file
	lastBatch uint64 // number of the last complete batch, 0 if there is none; see readFiles for a damaged file
	damage    error  // nil if the file is not damaged
}

// readFiles reads all existing files, those under the current names first.
func (s *Store) readFiles() (found []candidate, err error) {
	for _, name := range slices.Concat(fileNames[:], legacyFileNames[:]) {
		text, err := s.dir.read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if version, _, _, length := parseHeader(text); length > 0 && version > formatVersion {
			return nil, fmt.Errorf("%s: %w: its format is %d, this release reads up to %d", name, ErrNewerFormat, version, formatVersion)
		}
		c := candidate{name: name, size: int64(len(text))}
		c.state, c.validEnd, c.lastBatch, c.damage = scan(text)
		if c.damage != nil {
			// Entries of only one batch: a rewrite that was not finished, which does not
			// count. Entries of several batches: the file was in use.
			c.lastBatch = 0
			if lowest, highest := batchRange(text); lowest < highest {
				c.lastBatch = highest
			}
		}
		found = append(found, c)
	}
	return found, nil
}

// newest returns the file whose last batch has the highest number. While there are
// several files, each acknowledged batch is in all of them: see replaceFile.
func newest(found []candidate) (best candidate) {
	for _, c := range found {
		if c.lastBatch > best.lastBatch || best.lastBatch == 0 && best.damage == nil {
			best = c
		}
	}
	return best
}

// resume keeps using the chosen file if its last batch is known to have been synced and
// nothing follows it. Otherwise it writes the state to a new file: a sync of the chosen
// file may have failed, and a later sync of the same file may then report success
// although the data is not on disk.
func (s *Store) resume(chosen candidate, found []candidate) error {
	wasSynced := chosen.lastBatch > 0 && chosen.lastBatch == s.mark.batch
	if wasSynced && chosen.validEnd == chosen.size && !chosen.isLegacy() {
		return s.reuse(chosen, found)
	}
	if chosen.validEnd < chosen.size {
		s.log.Warn("torn batch left out", "bytes", chosen.size-chosen.validEnd)
	}
	preserved := fallbackFile(found, chosen)
	target := fileNames[0]
	if preserved.name == target || chosen.name == fileNames[1] && preserved.name != chosen.name {
		target = fileNames[1]
	}
	// Files that are neither chosen nor preserved are removed first to free space.
	var others []string
	for _, c := range found {
		switch c.name {
		case target: // replaceFile recreates it
		case preserved.name, chosen.name:
			others = append(others, c.name)
			s.fileSize += c.size
		default:
			if err := s.dir.remove(c.name); err != nil {
				return err
			}
		}
	}
	s.lastBatch = max(s.lastBatch, chosen.lastBatch)
	return s.replaceFile(target, chosen.entries(), others...)
}

// reuse makes the chosen file the current one. It first makes sure that the removal of
// all other files is durable, including those that an earlier start removed.
func (s *Store) reuse(chosen candidate, found []candidate) error {
	for _, c := range found {
		if c.name == chosen.name {
			continue
		}
		if err := s.dir.remove(c.name); err != nil {
			return err
		}
	}
	if err := s.dir.syncDir(); err != nil {
		return err
	}
	s.fileName, s.lastBatch, s.fileSize = chosen.name, chosen.lastBatch, chosen.size
	s.liveSize = rewrittenSize(chosen.entries())
	return s.openFile()
}

// fallbackFile returns the file that must be preserved until a new one is durable: the
// oldest file that is not damaged. It was in use before a rewrite, so every acknowledged
// batch in it is durable; the file of the rewrite may not be.
func fallbackFile(found []candidate, chosen candidate) candidate {
	oldest := chosen
	for _, c := range found {
		if c.damage == nil && c.lastBatch > 0 && c.lastBatch < oldest.lastBatch {
			oldest = c
		}
	}
	return oldest
}

func (c candidate) isLegacy() bool { return slices.Contains(legacyFileNames[:], c.name) }

// entries returns the state as entries, sorted by key.
func (c candidate) entries() []Entry {
	entries := make([]Entry, 0, len(c.state))
	for _, key := range slices.Sorted(maps.Keys(c.state)) {
		entries = append(entries, Entry{key, c.state[key]})
	}
	return entries
}

// discardDamaged removes a damaged file after saving an excerpt for operators. It first
// removes all other files, so that no later start takes an earlier state of the replica
// from them.
func (s *Store) discardDamaged(chosen candidate, damage error) error {
	s.log.Error("damaged state set aside", "error", damage)
	all := slices.Concat(fileNames[:], legacyFileNames[:])
	others := slices.DeleteFunc(all, func(name string) bool { return name == chosen.name })
	if err := s.removeFiles(others...); err != nil {
		return err
	}
	if err := s.dir.syncDir(); err != nil { // an earlier start may have removed files without a sync
		return err
	}
	if chosen.name == "" {
		return nil
	}
	if err := s.saveExcerpt(chosen.name, damage); err != nil {
		s.log.Warn("could not save an excerpt of the damaged file", "error", err)
	}
	return s.removeFiles(chosen.name)
}

// saveExcerpt copies the part of the file around the damage to excerptName.
func (s *Store) saveExcerpt(name string, damage error) error {
	text, err := s.dir.read(name)
	if err != nil {
		return err
	}
	size, start := int(fractionOf(s.diskSize, excerptFraction)), 0
	var location *damageError
	if errors.As(damage, &location) {
		start = max(0, location.offset-size/2)
	}
	f, err := s.dir.create(excerptName)
	if err != nil {
		return err
	}
	_, err = f.Write(text[start:min(len(text), start+size)])
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// truncateExcerpts shortens saved files to the size of an excerpt: earlier releases kept
// the whole damaged file.
func (s *Store) truncateExcerpts(names ...string) error {
	limit := fractionOf(s.diskSize, excerptFraction)
	for _, name := range names {
		if size, err := s.dir.size(name); err != nil || size <= limit {
			continue
		}
		if err := s.dir.truncate(name, limit); err != nil {
			return err
		}
	}
	return nil
}
