// Package disk keeps a keeper's files: one bbolt file, written through before the keeper says anything that rests on it.
// It decides nothing.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
)

var (
	meta    = []byte("meta")
	entries = []byte("entries")
)

// Keys in meta.
var (
	owner    = []byte("owner")
	hard     = []byte("hard")
	snapshot = []byte("snapshot")
	floors   = []byte("floors")
	opened   = []byte("opened")
)

// VoterFile is an open keeper's file.
type VoterFile struct {
	db *bbolt.DB
}

// OpenVoterFile opens or makes the file of a fleet's keeper and reads its state. The error names the file and what to do: another
// keeper's or fleet's file, one in use by another process, one that is torn.
func OpenVoterFile(path, fleetID, keeper string) (f *VoterFile, s *fleet.DiskState, err error) {
	// The library reads the file through a memory map: a page behind the file's end is a fault, which would end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // the library's, of a page that can't be
			f, s, err = nil, nil, fmt.Errorf("%s is torn (%v): move it away and add a keeper of a new name", path, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, nil, fmt.Errorf("%s is in use by another process: end it, or name another file", path)
	case errors.Is(err, os.ErrNotExist):
		return nil, nil, fmt.Errorf("%s: its folder is not there: make it", path)
	case err != nil:
		return nil, nil, fmt.Errorf("%s can't be opened (%w): where it is torn, move it away and add a keeper of a new name", path, err)
	}
	s = &fleet.DiskState{Floors: map[string]fleet.Floor{}}
	if err := whole(db, path); err != nil {
		db.Close()
		return nil, nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		e, err := tx.CreateBucketIfNotExists(entries)
		if err != nil {
			return err
		}
		who := []byte(fleetID + "/" + keeper)
		if was := m.Get(owner); was == nil {
			err = m.Put(owner, who)
		} else if string(was) != string(who) {
			return fmt.Errorf("it belongs to %s, and this is %s: name another file", was, who)
		}
		if err == nil {
			err = read(m, e, s)
		}
		if err != nil {
			return err
		}
		s.OpenCount++
		return m.Put(opened, binary.BigEndian.AppendUint64(nil, s.OpenCount))
	})
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return &VoterFile{db}, s, nil
}

// whole looks whether all pages are there and fit together: the library finds a cut only when it comes to a page behind it.
func whole(db *bbolt.DB, path string) error {
	return db.View(func(tx *bbolt.Tx) error {
		at, err := os.Stat(path)
		if err != nil {
			return err
		}
		if tx.Size() > at.Size() {
			return fmt.Errorf("%s is torn (%d bytes, and %d belong to it): move it away and add a keeper of a new name", path, at.Size(), tx.Size())
		}
		for err := range tx.Check() {
			return fmt.Errorf("%s is torn (%w): move it away and add a keeper of a new name", path, err)
		}
		return nil
	})
}

func read(m, e *bbolt.Bucket, s *fleet.DiskState) error {
	if b := m.Get(opened); len(b) == 8 {
		s.OpenCount = binary.BigEndian.Uint64(b)
	}
	if b := m.Get(hard); b != nil {
		s.Hard = &pb.HardState{}
		if err := proto.Unmarshal(b, s.Hard); err != nil {
			return fmt.Errorf("its term and vote can't be read: %w", err)
		}
	}
	if b := m.Get(snapshot); b != nil {
		s.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(b, s.Snapshot); err != nil {
			return fmt.Errorf("its snapshot can't be read: %w", err)
		}
	}
	if b := m.Get(floors); b != nil {
		if err := msgpack.Unmarshal(b, &s.Floors); err != nil {
			return fmt.Errorf("what it knows of other keepers can't be read: %w", err)
		}
	}
	next := s.Snapshot.GetMetadata().GetIndex() + 1
	return e.ForEach(func(k, v []byte) error {
		x := &pb.Entry{}
		if err := proto.Unmarshal(v, x); err != nil {
			return fmt.Errorf("entry %d can't be read: %w", binary.BigEndian.Uint64(k), err)
		}
		if x.GetIndex() < next {
			return nil
		}
		if x.GetIndex() != next {
			return fmt.Errorf("entry %d is missing", next)
		}
		next++
		s.Entries = append(s.Entries, x)
		return nil
	})
}

// Save writes through; what it returned nil for is there after any crash.
func (f *VoterFile) Save(s *fleet.DiskWrite) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		m, e := tx.Bucket(meta), tx.Bucket(entries)
		if s.Snapshot != nil {
			if err := put(m, snapshot, s.Snapshot); err != nil {
				return err
			}
			at := s.Snapshot.GetMetadata().GetIndex()
			c := e.Cursor()
			for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= at; k, _ = c.First() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if len(s.Entries) > 0 {
			from := binary.BigEndian.AppendUint64(nil, s.Entries[0].GetIndex())
			c := e.Cursor()
			for k, _ := c.Seek(from); k != nil; k, _ = c.Seek(from) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
			for _, x := range s.Entries {
				if err := put(e, binary.BigEndian.AppendUint64(nil, x.GetIndex()), x); err != nil {
					return err
				}
			}
		}
		if s.Hard != nil {
			if err := put(m, hard, s.Hard); err != nil {
				return err
			}
		}
		if s.Floors != nil {
			b, err := msgpack.Marshal(s.Floors)
			if err == nil {
				err = m.Put(floors, b)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

func put(b *bbolt.Bucket, key []byte, x proto.Message) error {
	data, err := proto.Marshal(x)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// Close ends the use of the file.
func (f *VoterFile) Close() error { return f.db.Close() }
