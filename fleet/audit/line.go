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
	Opened  = "opened"  // a process begins: Program, Kinds, Clock
	Closed  = "closed"  // it ends as it should
	InSpan  = "span"    // From, Until, Version, List, Ended; the ids of its requests stand in the index
	Adopted = "adopted" // Version, Meaning
	Refused = "refused" // Version can't be used: Why
	Held    = "held"    // Duty in Term
	Let     = "let go"  // Duty in Term: Why
	Right   = "right"   // it has one again, until Until
	Lapsed  = "lapsed"  // its right ran out at Until
	Gap     = "gap"     // Lost lines could not be written: Why
	Cut     = "cut"     // a torn tail was cut off at the start: Lost bytes
	Dropped = "dropped" // a segment was taken away to stay within the budget: Name
	Turned  = "turned"  // the record's rolls took a turn: Why
)

// Line is one of a front's log. Its keys are kept as they are: operators' tools read them.
type Line struct {
	N           uint64     `json:"n"`  // rises by one with each line of the front, over its restarts
	At          int64      `json:"at"` // the front's wall clock, Unix microseconds
	What        string     `json:"what"`
	Front       string     `json:"front"`
	Incarnation uint64     `json:"incarnation"`
	Index       uint64     `json:"index"` // of the record, as the front had it
	Version     uint64     `json:"version,omitempty"`
	Meaning     string     `json:"meaning,omitempty"`
	Program     string     `json:"program,omitempty"`
	Kinds       []string   `json:"kinds,omitempty"` // request types, in the order of Ended
	Clock       int64      `json:"clock,omitempty"` // by how much the wall clock may be wrong, microseconds, as the operator told
	Span        uint32     `json:"span,omitempty"`
	From        int64      `json:"from,omitempty"`
	Until       int64      `json:"until,omitempty"`
	Right       int64      `json:"right,omitempty"`   // until when the front might act, as of the span's end; 0 where it needs none
	Standby     bool       `json:"standby,omitempty"` // a span without a right: nothing was taken in it
	List        []int64    `json:"list,omitempty"`
	Ended       [][]uint32 `json:"ended,omitempty"` // by request type: committed, rejected, rolled back, senseless, abandoned
	Requests    int        `json:"txns,omitempty"`
	IDs         int64      `json:"ids,omitempty"` // where the index has them, plus one
	IDsHash     string     `json:"ids_hash,omitempty"`
	Lease       string     `json:"duty,omitempty"`
	Term        uint64     `json:"term,omitempty"`
	Acts        uint64     `json:"acts,omitempty"` // of the duty, in that term
	Lost        uint64     `json:"lost,omitempty"`
	Name        string     `json:"name,omitempty"`
	Why         string     `json:"why,omitempty"`
	Prev        string     `json:"prev,omitempty"` // in a segment's first line: the chain's value before it
	Chain       string     `json:"chain"`
}

// Chain binds lines: the value of each is a hash of the one before and of what the line says.
type Chain struct {
	N     uint64
	Value string
	first bool
}

// Segment begins another file: its first line says what went before.
func (c *Chain) Segment() { c.first = true }

// Append puts a line behind the others, and gives it as the file has it.
func (c *Chain) Append(l *Line) []byte {
	c.N++
	l.N, l.Prev, l.Chain = c.N, "", ""
	if c.first {
		l.Prev, c.first = c.Value, false
		if l.Prev == "" {
			l.Prev = "none"
		}
	}
	l.Chain = link(c.Value, l)
	c.Value = l.Chain
	b, err := json.Marshal(l)
	if err != nil {
		panic("a line that can't be written: " + err.Error()) // of our own making
	}
	return append(b, '\n')
}

func link(before string, l *Line) string {
	x := *l
	x.Chain = ""
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

// Index is a span's part of the index file, and a digest of it for the span's line.
func Index(s *Span) (b []byte, hash string) {
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

// Head reads the head of a span in the index: how many ids follow.
func Head(b []byte) (span uint32, ids int, ok bool) {
	if len(b) < headSize || !bytes.Equal(b[:4], idMagic[:]) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(b[4:]), int(binary.BigEndian.Uint32(b[8:])), true
}

// Size is what a span of so many ids takes in the index.
func Size(ids int) int64 { return headSize + int64(ids)*idBytes }

// Find looks for an id among a span's, which begin behind the head at off; read gives bytes of the index. Ids are evenly spread,
// so it looks where the id should stand, and widens only by chance.
func Find(id uint64, ids int, off int64, read func(off int64, n int) ([]byte, error)) (bool, error) {
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
	LinesEnd = ".audit"
	IDsEnd   = ".ids"
)

// ParseName takes a segment's name apart.
func ParseName(name string) (front string, number uint64, ok bool) {
	base, found := strings.CutSuffix(name, LinesEnd)
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
