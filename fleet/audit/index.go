package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// The index has a part for each interval: a head, then the hashes of the interval's request ids, sorted and 40 bits each. One read is
// usually sufficient to find whether an id is there. An id that is not among an interval's n requests appears to be with probability n in
// 2^40.
const (
	idBytes  = 5
	idBits   = 8 * idBytes
	headSize = 16
)

var indexMagic = [4]byte{'I', 'D', 'S', '1'}

// HashID returns the hash by which a request's id is recorded: 64-bit FNV-1a. The index holds its upper 40 bits.
func HashID(id []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range id {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// EncodeIndex returns an interval's part of the index, and the hash of that part for the interval's line.
func EncodeIndex(s *Interval) (b []byte, hash string) {
	ids := slices.Clone(s.IDs)
	for i := range ids {
		ids[i] >>= 64 - idBits
	}
	slices.Sort(ids)
	b = make([]byte, 0, headSize+idBytes*len(ids))
	b = append(b, indexMagic[:]...)
	b = binary.BigEndian.AppendUint32(b, s.Number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(ids)))
	b = binary.BigEndian.AppendUint32(b, 0) // reserved
	for _, id := range ids {
		b = append(b, byte(id>>32), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
	}
	return b, indexHash(b)
}

// indexHash returns the hash of an interval's part of the index.
func indexHash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// DecodeIndexHead decodes the head of an interval's part of the index: the interval's number, and how many ids follow. ok is false if it
// is not a head.
func DecodeIndexHead(b []byte) (interval uint32, ids int, ok bool) {
	if len(b) < headSize || !bytes.Equal(b[:4], indexMagic[:]) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(b[4:]), int(binary.BigEndian.Uint32(b[8:])), true
}

// IndexSize returns the size of an interval's part of the index with the given number of ids, in bytes.
func IndexSize(ids int) int64 { return headSize + int64(ids)*idBytes }

// FindID reports whether an interval's part of the index contains an id, given as its HashID. ids is the number of ids in the part, and
// offset is where they begin, after the head. read reads bytes of the index; its errors are returned unchanged. Because hashes are evenly
// distributed, FindID reads where the hash should be, and rarely needs another read.
func FindID(id uint64, ids int, offset int64, read func(offset int64, n int) ([]byte, error)) (bool, error) {
	wanted := id >> (64 - idBits)
	low, high := 0, ids // the hash, if it is there, is within these bounds
	for high > low {
		guess := int(float64(wanted) / float64(uint64(1)<<idBits) * float64(ids))
		from := max(low, min(max(guess, low), high-1)-32)
		to := min(high, from+64)
		b, err := read(offset+int64(from)*idBytes, (to-from)*idBytes)
		if err != nil {
			return false, err
		}
		at := func(i int) uint64 {
			x := b[i*idBytes:]
			return uint64(x[0])<<32 | uint64(x[1])<<24 | uint64(x[2])<<16 | uint64(x[3])<<8 | uint64(x[4])
		}
		switch {
		case wanted < at(0):
			high = from
		case wanted > at(to-from-1):
			low = to
		default:
			for i := range to - from {
				if at(i) == wanted {
					return true, nil
				}
			}
			return false, nil
		}
	}
	return false, nil
}
