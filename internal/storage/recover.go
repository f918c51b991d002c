package storage

// This file holds what a start does with the files that it finds.

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
)

// Open opens the state in dir and returns what it holds, which is then durable.
// A last batch that is torn, and was never synced, is left out. Where something
// that was synced is damaged or missing, the files are set aside and ErrDamaged
// is returned together with an empty, usable store. ErrNewerFormat leaves all as
// it is. The files in dir stay within room, the disk's bytes (0: 64 MB), as long
// as the state takes no more than half of that.
func Open(dir string, room int64, logger *slog.Logger) (*Store, map[string][]byte, error) {
	return open(osFolder(dir), room, logger)
}

func open(dir folder, room int64, logger *slog.Logger) (*Store, map[string][]byte, error) {
	s := &Store{dir: dir, room: room, log: logger}
	if room <= 0 {
		s.room = defaultRoom
	}
	found, err := s.readFiles()
	if err != nil {
		return nil, nil, err
	}
	if err := s.mark.load(dir); err != nil {
		return nil, nil, err
	}
	if err := s.shorten(keptName, legacyKeptName); err != nil {
		return nil, nil, err
	}
	chosen := newest(found)
	damage := chosen.damage
	if damage == nil && chosen.last < s.mark.number {
		damage = &damagedAt{int(chosen.end), fmt.Sprintf("batch %d was synced and the last one there is %d", s.mark.number, chosen.last)}
	}
	if damage != nil {
		if err := s.setAside(chosen, damage); err != nil {
			return nil, nil, err
		}
		s.batch = max(chosen.last, s.mark.number)
		chosen, found = candidate{}, nil
	}
	if err := s.takeOver(chosen, found); err != nil {
		s.mark.close()
		_ = s.detach()
		return nil, nil, err
	}
	if chosen.state == nil {
		chosen.state = map[string][]byte{}
	}
	return s, chosen.state, damage
}

// candidate is a file that a start may take.
type candidate struct {
	name   string
	state  map[string][]byte
	end    int64  // bytes up to the end of the last whole batch
	size   int64  // bytes of the file
	last   uint64 // number of that batch; 0 if there is none
	damage error
}

// readFiles reads all files that are there, the present names first.
func (s *Store) readFiles() (found []candidate, err error) {
	for _, name := range slices.Concat(fileNames[:], legacyNames[:]) {
		text, err := s.dir.read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if version, _, _, n := readHeader(text); n > 0 && version > formatVersion {
			return nil, fmt.Errorf("%s: %w: its format is %d, this release reads up to %d", name, ErrNewerFormat, version, formatVersion)
		}
		c := candidate{name: name, size: int64(len(text))}
		c.state, c.end, c.last, c.damage = scan(text)
		if c.damage != nil {
			// One number only: a rewrite that was not finished. More: a file in use.
			c.last = 0
			if least, most := numbers(text); least < most {
				c.last = most
			}
		}
		found = append(found, c)
	}
	return found, nil
}

// newest returns the file whose last batch is the newest. While there are several,
// no batch was reported that is in one of them only: see replace.
func newest(found []candidate) (best candidate) {
	for _, c := range found {
		if c.last > best.last || best.last == 0 && best.damage == nil {
			best = c
		}
	}
	return best
}

// takeOver goes on with the chosen file if its last batch is known to have been
// synced and nothing follows it. Else it writes the state to a new file: what is
// found may be what a sync has failed for, and a later sync of the same file may
// claim success all the same.
func (s *Store) takeOver(chosen candidate, found []candidate) error {
	wasSynced := chosen.last > 0 && chosen.last == s.mark.number
	if wasSynced && chosen.end == chosen.size && !chosen.isLegacy() {
		return s.goOn(chosen, found)
	}
	if chosen.end < chosen.size {
		s.log.Warn("torn batch left out", "bytes", chosen.size-chosen.end)
	}
	kept := fallback(found, chosen)
	target := fileNames[0]
	if kept.name == target || chosen.name == fileNames[1] && kept.name != chosen.name {
		target = fileNames[1]
	}
	// What is neither taken nor kept goes first, for room.
	var others []string
	for _, c := range found {
		switch c.name {
		case target: // is written anew
		case kept.name, chosen.name:
			others = append(others, c.name)
			s.size += c.size
		default:
			if err := s.dir.remove(c.name); err != nil {
				return err
			}
		}
	}
	s.batch = max(s.batch, chosen.last)
	return s.replace(target, chosen.entries(), others...)
}

// goOn appends to the chosen file once all others are gone for good, also those
// that a start before this one has removed.
func (s *Store) goOn(chosen candidate, found []candidate) error {
	for _, c := range found {
		if c.name == chosen.name {
			continue
		}
		if err := s.dir.remove(c.name); err != nil {
			return err
		}
	}
	if err := s.dir.syncNames(); err != nil {
		return err
	}
	s.name, s.batch, s.size = chosen.name, chosen.last, chosen.size
	s.live = rewrittenSize(chosen.entries())
	return s.attach()
}

// fallback returns the file that has to stay until a new one is durable: the
// oldest that is not damaged. It was in use before a rewrite, so all of it that was
// reported is durable; the rewrite may not be.
func fallback(found []candidate, chosen candidate) candidate {
	kept := chosen
	for _, c := range found {
		if c.damage == nil && c.last > 0 && c.last < kept.last {
			kept = c
		}
	}
	return kept
}

func (c candidate) isLegacy() bool { return slices.Contains(legacyNames[:], c.name) }

// entries returns the state as entries, sorted by key.
func (c candidate) entries() []Entry {
	out := make([]Entry, 0, len(c.state))
	for _, key := range slices.Sorted(maps.Keys(c.state)) {
		out = append(out, Entry{key, c.state[key]})
	}
	return out
}

// setAside removes a damaged file, and before it anything that could be taken
// for an earlier state of the replica. For people it keeps the damaged place.
func (s *Store) setAside(chosen candidate, damage error) error {
	s.log.Error("damaged state set aside", "error", damage)
	all := slices.Concat(fileNames[:], legacyNames[:])
	others := slices.DeleteFunc(all, func(name string) bool { return name == chosen.name })
	if err := s.drop(others...); err != nil {
		return err
	}
	if err := s.dir.syncNames(); err != nil { // a start before this one may have dropped it
		return err
	}
	if chosen.name == "" {
		return nil
	}
	if err := s.keep(chosen.name, damage); err != nil {
		s.log.Warn("nothing of the damaged file is kept", "error", err)
	}
	return s.drop(chosen.name)
}

// keep copies what lies around a damaged place.
func (s *Store) keep(name string, damage error) error {
	text, err := s.dir.read(name)
	if err != nil {
		return err
	}
	size, at := int(part(s.room, keptPart)), 0
	var place *damagedAt
	if errors.As(damage, &place) {
		at = max(0, place.offset-size/2)
	}
	f, err := s.dir.create(keptName)
	if err != nil {
		return err
	}
	_, err = f.Write(text[at:min(len(text), at+size)])
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// shorten cuts off what an earlier release kept, a whole damaged file.
func (s *Store) shorten(names ...string) error {
	most := part(s.room, keptPart)
	for _, name := range names {
		if size, err := s.dir.size(name); err != nil || size <= most {
			continue
		}
		if err := s.dir.truncate(name, most); err != nil {
			return err
		}
	}
	return nil
}
