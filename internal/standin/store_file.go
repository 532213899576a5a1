package standin

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

// snapshot is the part of a store that Save writes. Sessions and the instance list
// are not saved, as they are lost when an agent fails.
type snapshot struct {
	Index      uint64
	Rows       []kvPair
	Tombstones map[string]uint64
}

// Save writes the index, the rows and the tombstones to a file, which it replaces by renaming.
func (s *Store) Save(path string) error {
	s.mu.Lock()
	rows, _ := s.read("", true)
	data, err := json.Marshal(snapshot{s.index, rows, s.tombstones})
	s.mu.Unlock()
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Restore reads a file written by Save. If the file does not exist, the store stays empty.
func (s *Store) Restore(path string) error {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var from snapshot
	if err := json.Unmarshal(data, &from); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = max(from.Index, 1)
	for _, p := range from.Rows {
		s.rows[p.Key] = row{value: p.Value, createIndex: p.CreateIndex, modifyIndex: p.ModifyIndex, lockIndex: p.LockIndex}
	}
	for key, index := range from.Tombstones {
		s.tombstones[key] = index
	}
	s.notifyWatches()
	return nil
}
