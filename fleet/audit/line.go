package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// What a line tells.
const (
	EventProcessStarted      = "opened"  // a process begins: Program, Kinds, Clock
	EventProcessStopped      = "closed"  // it ends as it should
	EventInterval            = "span"    // From, Until, Version, List, Ended; the ids of its requests stand in the index
	EventVersionAdopted      = "adopted" // Version, Meaning
	EventVersionRejected     = "refused" // Version can't be used: Why
	EventLeaseAcquired       = "held"    // Duty in Term
	EventLeaseEnded          = "let go"  // Duty in Term: Why
	EventConfigLeaseAcquired = "right"   // it has one again, until Until
	EventConfigLeaseExpired  = "lapsed"  // its right ran out at Until
	EventLinesLost           = "gap"     // Lost lines could not be written: Why
	EventTailTruncated       = "cut"     // a torn tail was cut off at the start: Lost bytes
	EventSegmentRemoved      = "dropped" // a segment was taken away to stay within the budget: Name
	EventRolloutChanged      = "turned"  // the record's rolls took a turn: Why
)

// Line is one of a front's log. Its keys are kept as they are: operators' tools read them.
type Line struct {
	Sequence             uint64     `json:"n"`  // rises by one with each line of the front, over its restarts
	At                   int64      `json:"at"` // the front's wall clock, Unix microseconds
	Event                string     `json:"what"`
	Front                string     `json:"front"`
	Incarnation          uint64     `json:"incarnation"`
	Index                uint64     `json:"index"` // of the record, as the front had it
	Version              uint64     `json:"version,omitempty"`
	RulesHash            string     `json:"meaning,omitempty"`
	Program              string     `json:"program,omitempty"`
	RequestTypes         []string   `json:"kinds,omitempty"` // request types, in the order of Ended
	MaxClockError        int64      `json:"clock,omitempty"` // by how much the wall clock may be wrong, microseconds, as the operator told
	Interval             uint32     `json:"span,omitempty"`
	Start                int64      `json:"from,omitempty"`
	End                  int64      `json:"until,omitempty"`
	ConfigLeaseExpiry    int64      `json:"right,omitempty"`   // until when the front might act, as of the span's end; 0 where it needs none
	Standby              bool       `json:"standby,omitempty"` // a span without a right: nothing was taken in it
	EndpointListVersions []int64    `json:"list,omitempty"`
	Outcomes             [][]uint32 `json:"ended,omitempty"` // by request type: committed, rejected, rolled back, senseless, abandoned
	Requests             int        `json:"txns,omitempty"`
	IndexOffset          int64      `json:"ids,omitempty"` // where the index has them, plus one
	IndexHash            string     `json:"ids_hash,omitempty"`
	Lease                string     `json:"duty,omitempty"`
	Term                 uint64     `json:"term,omitempty"`
	LeaseActions         uint64     `json:"acts,omitempty"` // of the duty, in that term
	Lost                 uint64     `json:"lost,omitempty"`
	Name                 string     `json:"name,omitempty"`
	Reason               string     `json:"why,omitempty"`
	PreviousHash         string     `json:"prev,omitempty"` // in a segment's first line: the chain's value before it
	Hash                 string     `json:"chain"`
}

// HashChain binds lines: the value of each is a hash of the one before and of what the line says.
type HashChain struct {
	Sequence uint64
	LastHash string
	first    bool
}

// StartSegment begins another file: its first line says what went before.
func (c *HashChain) StartSegment() { c.first = true }

// Append puts a line behind the others, and gives it as the file has it.
func (c *HashChain) Append(l *Line) []byte {
	c.Sequence++
	l.Sequence, l.PreviousHash, l.Hash = c.Sequence, "", ""
	if c.first {
		l.PreviousHash, c.first = c.LastHash, false
		if l.PreviousHash == "" {
			l.PreviousHash = "none"
		}
	}
	l.Hash = link(c.LastHash, l)
	c.LastHash = l.Hash
	b, err := json.Marshal(l)
	if err != nil {
		panic("a line that can't be written: " + err.Error()) // of our own making
	}
	return append(b, '\n')
}

func link(before string, l *Line) string {
	x := *l
	x.Hash = ""
	b, err := json.Marshal(&x)
	if err != nil {
		return "unwritable"
	}
	sum := sha256.Sum256(append(append([]byte(before), '\n'), b...))
	return hex.EncodeToString(sum[:12])
}

// The index: for each span a head and the hashes of its requests' ids, 40 bits each, sorted, so that one read finds out whether
// an id is there. Of a span of n requests an id that is not there looks as if with chance n in 2^40.
const (
	idBytes  = 5
	headSize = 16
)

var idMagic = [4]byte{'I', 'D', 'S', '1'}

// EncodeIndex is a span's part of the index file, and a digest of it for the span's line.
func EncodeIndex(s *Interval) (b []byte, hash string) {
	all := slices.Clone(s.IDs)
	for i := range all {
		all[i] >>= 64 - 8*idBytes
	}
	slices.Sort(all)
	b = make([]byte, 0, headSize+idBytes*len(all))
	b = append(b, idMagic[:]...)
	b = binary.BigEndian.AppendUint32(b, s.Number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(all)))
	b = binary.BigEndian.AppendUint32(b, 0)
	for _, id := range all {
		b = append(b, byte(id>>32), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
	}
	sum := sha256.Sum256(b)
	return b, hex.EncodeToString(sum[:8])
}

// DecodeIndexHead reads the head of a span in the index: how many ids follow.
func DecodeIndexHead(b []byte) (span uint32, ids int, ok bool) {
	if len(b) < headSize || !bytes.Equal(b[:4], idMagic[:]) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(b[4:]), int(binary.BigEndian.Uint32(b[8:])), true
}

// IndexSize is what a span of so many ids takes in the index.
func IndexSize(ids int) int64 { return headSize + int64(ids)*idBytes }

// FindID looks for an id among a span's, which begin behind the head at off; read gives bytes of the index. Ids are evenly spread,
// so it looks where the id should stand, and widens only by chance.
func FindID(id uint64, ids int, off int64, read func(off int64, n int) ([]byte, error)) (bool, error) {
	want := id >> (64 - 8*idBytes)
	lo, hi := 0, ids // the id, if any, is within
	for hi > lo {
		guess := int(float64(want) / float64(uint64(1)<<(8*idBytes)) * float64(ids))
		from := max(lo, min(max(guess, lo), hi-1)-32)
		to := min(hi, from+64)
		b, err := read(off+int64(from)*idBytes, (to-from)*idBytes)
		if err != nil {
			return false, err
		}
		at := func(i int) uint64 {
			x := b[i*idBytes:]
			return uint64(x[0])<<32 | uint64(x[1])<<24 | uint64(x[2])<<16 | uint64(x[3])<<8 | uint64(x[4])
		}
		switch {
		case want < at(0):
			hi = from
		case want > at(to-from-1):
			lo = to
		default:
			for i := range to - from {
				if at(i) == want {
					return true, nil
				}
			}
			return false, nil
		}
	}
	return false, nil
}

// SegmentName is a segment's file, without its ending; names sort as they were made.
func SegmentName(front string, number uint64) string { return fmt.Sprintf("%s.%08d", front, number) }

// Endings of a segment's two files.
const (
	LogSuffix   = ".audit"
	IndexSuffix = ".ids"
)

// ParseLogName takes a segment's name apart.
func ParseLogName(name string) (front string, number uint64, ok bool) {
	base, found := strings.CutSuffix(name, LogSuffix)
	if !found {
		return "", 0, false
	}
	i := strings.LastIndexByte(base, '.')
	if i < 1 {
		return "", 0, false
	}
	_, err := fmt.Sscanf(base[i+1:], "%d", &number)
	return base[:i], number, err == nil
}
