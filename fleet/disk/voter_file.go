package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
)

// Buckets of a voter file. The key of a log entry is its index, 8 bytes big-endian.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
)

// Keys of metaBucket.
var (
	ownerKey     = []byte("owner") // FLEET/VOTER
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	floorsKey    = []byte("floors") // MessagePack
	openCountKey = []byte("opened") // 8 bytes big-endian
)

// lockTimeout is how long OpenVoterFile waits for another process to release the file.
const lockTimeout = time.Second

// VoterFile is the open file that holds the durable state of a voter.
type VoterFile struct {
	db *bbolt.DB
}

// OpenVoterFile opens the file of a voter of a fleet, or creates it, and reads the voter's state. The error names the file and what to do
// about it. It wraps ErrVoterFileInUse, ErrVoterFileDamaged, an OtherVoterError, or an error of the operating system or of bbolt.
func OpenVoterFile(path, fleetID, voter string) (f *VoterFile, s *fleet.DiskState, err error) {
	return SystemCalls().OpenVoterFile(path, fleetID, voter)
}

// OpenVoterFile is the function OpenVoterFile with these calls.
func (c CreateCalls) OpenVoterFile(path, fleetID, voter string) (f *VoterFile, s *fleet.DiskState, err error) {
	// bbolt reads the file through a memory map: access to a page after the end of the file is a memory fault, which would otherwise end
	// the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // bbolt panics on an invalid page
			f, s, err = nil, nil, fmt.Errorf("%s is %w (%v): %s", path, ErrVoterFileDamaged, p, replaceVoterRemedy)
		}
	}()
	db, err := c.openDB(path)
	if err != nil {
		return nil, nil, err
	}
	if err = checkPages(db, path); err == nil {
		if s, err = readState(db, fleetID+"/"+voter); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if err != nil {
		_ = db.Close() // no state was written
		return nil, nil, err
	}
	return &VoterFile{db}, s, nil
}

// openDB opens or creates the bbolt file and locks it. Its errors name the file and what to do about it.
func (c CreateCalls) openDB(path string) (*bbolt.DB, error) {
	db, err := c.openOrCreateDB(path)
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s is %w: stop that process or configure another file", path, ErrVoterFileInUse)
	case errors.Is(err, os.ErrNotExist):
		return nil, fmt.Errorf("%s: its directory does not exist (%w): create it", path, err)
	case IsTransient(err):
		return nil, fmt.Errorf("%s can't be opened: %w", path, err)
	case err != nil:
		return nil, fmt.Errorf("%s can't be opened (%w): if it is damaged, %s", path, err, replaceVoterRemedy)
	}
	return db, nil
}

// openOrCreateDB opens and locks the bbolt file. A new file appears at path complete or not at all: one whose creation was cut short could
// not be told from one that is damaged.
func (c CreateCalls) openOrCreateDB(path string) (*bbolt.DB, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := c.createDB(path); err != nil {
			return nil, err
		}
	}
	return bbolt.Open(path, 0o600, bboltOptions())
}

// createDB creates an empty bbolt file, unless path exists by then.
func (c CreateCalls) createDB(path string) (err error) {
	dir := filepath.Dir(path)
	temporary, err := writeTemporary(c.CreateTemp, dir, nil)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary) }() // its content is linked under the final name, or is not needed
	db, err := bbolt.Open(temporary, 0o600, bboltOptions())
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	if err := os.Link(temporary, path); err != nil && !errors.Is(err, os.ErrExist) { // unlike a rename, a link never replaces a file
		return err
	}
	return syncDir(dir)
}

// bboltOptions returns the options with which voter files are opened.
func bboltOptions() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}
}

// checkPages verifies that all pages are present and consistent. bbolt itself notices a truncated file only when it reads a page after
// the end of the file.
func checkPages(db *bbolt.DB, path string) error {
	return db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if tx.Size() > info.Size() {
			return fmt.Errorf("%s is %w (%d bytes of %d): %s", path, ErrVoterFileDamaged, info.Size(), tx.Size(), replaceVoterRemedy)
		}
		for err := range tx.Check() {
			return fmt.Errorf("%s is %w (%w): %s", path, ErrVoterFileDamaged, err, replaceVoterRemedy)
		}
		return nil
	})
}

// readState reads a voter's state and increments its open count. A new file is assigned to the voter; a file of another voter is an
// OtherVoterError. voter has the form FLEET/VOTER.
func readState(db *bbolt.DB, voter string) (*fleet.DiskState, error) {
	s := &fleet.DiskState{Floors: map[string]fleet.Floor{}}
	return s, db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		entries, err := tx.CreateBucketIfNotExists(entriesBucket)
		if err != nil {
			return err
		}
		if owner := meta.Get(ownerKey); owner == nil {
			if err := meta.Put(ownerKey, []byte(voter)); err != nil {
				return err
			}
		} else if string(owner) != voter {
			return OtherVoterError{Owner: string(owner), Voter: voter}
		}
		if err := readMeta(meta, s); err != nil {
			return err
		}
		if err := readEntries(entries, s); err != nil {
			return err
		}
		s.OpenCount++
		return meta.Put(openCountKey, binary.BigEndian.AppendUint64(nil, s.OpenCount))
	})
}

// readMeta reads the state that metaBucket holds. Keys that are missing leave their fields unset.
func readMeta(meta *bbolt.Bucket, s *fleet.DiskState) error {
	if b := meta.Get(openCountKey); len(b) == 8 {
		s.OpenCount = binary.BigEndian.Uint64(b)
	}
	if b := meta.Get(hardStateKey); b != nil {
		s.Hard = &pb.HardState{}
		if err := proto.Unmarshal(b, s.Hard); err != nil {
			return fmt.Errorf("term and vote %w: %w", ErrVoterFileDamaged, err)
		}
	}
	if b := meta.Get(snapshotKey); b != nil {
		s.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(b, s.Snapshot); err != nil {
			return fmt.Errorf("snapshot %w: %w", ErrVoterFileDamaged, err)
		}
	}
	if b := meta.Get(floorsKey); b != nil {
		if err := msgpack.Unmarshal(b, &s.Floors); err != nil {
			return fmt.Errorf("floors of other voters %w: %w", ErrVoterFileDamaged, err)
		}
	}
	return nil
}

// readEntries reads the log entries after the snapshot. They must follow the snapshot, and each other, without a gap.
func readEntries(entries *bbolt.Bucket, s *fleet.DiskState) error {
	next := s.Snapshot.GetMetadata().GetIndex() + 1
	return entries.ForEach(func(k, v []byte) error {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(v, entry); err != nil {
			return fmt.Errorf("entry %d %w: %w", binary.BigEndian.Uint64(k), ErrVoterFileDamaged, err)
		}
		if entry.GetIndex() < next {
			return nil
		}
		if entry.GetIndex() != next {
			return fmt.Errorf("%w: entry %d is missing", ErrVoterFileDamaged, next)
		}
		next++
		s.Entries = append(s.Entries, entry)
		return nil
	})
}

// Save writes w in one transaction and syncs the file. After a nil error the data survives any crash. After an error nothing of w is
// stored.
func (f *VoterFile) Save(w *fleet.DiskWrite) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if w.Snapshot != nil {
			if err := saveSnapshot(meta, entries, w.Snapshot); err != nil {
				return err
			}
		}
		if err := saveEntries(entries, w.Entries); err != nil {
			return err
		}
		if w.Hard != nil {
			if err := putMessage(meta, hardStateKey, w.Hard); err != nil {
				return err
			}
		}
		if w.Floors == nil {
			return nil
		}
		b, err := msgpack.Marshal(w.Floors)
		if err != nil {
			return err
		}
		return meta.Put(floorsKey, b)
	})
}

// saveSnapshot stores a snapshot and deletes all log entries up to its index.
func saveSnapshot(meta, entries *bbolt.Bucket, snapshot *pb.Snapshot) error {
	if err := putMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	}
	index := snapshot.GetMetadata().GetIndex()
	c := entries.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= index; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// saveEntries stores log entries and deletes all existing entries from the index of the first one on.
func saveEntries(entries *bbolt.Bucket, add []*pb.Entry) error {
	if len(add) == 0 {
		return nil
	}
	first := entryKey(add[0])
	c := entries.Cursor()
	for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range add {
		if err := putMessage(entries, entryKey(entry), entry); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of a log entry in entriesBucket.
func entryKey(entry *pb.Entry) []byte { return binary.BigEndian.AppendUint64(nil, entry.GetIndex()) }

// putMessage stores the encoding of a protobuf message under a key.
func putMessage(b *bbolt.Bucket, key []byte, x proto.Message) error {
	data, err := proto.Marshal(x)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// Close closes the file and releases its lock.
func (f *VoterFile) Close() error { return f.db.Close() }
