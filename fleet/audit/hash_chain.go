package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// noHash is the PreviousHash of the first line of a log.
const noHash = "none"

// HashChain links the lines of a front's log: the hash of each line covers the previous hash and the content of the line.
type HashChain struct {
	Sequence uint64 // of the last line
	LastHash string // of the last line; "" before the first line
	first    bool   // the next line is the first of its segment
}

// StartSegment starts another segment. Its first line will contain the previous hash, so that the segment can be verified by itself.
func (c *HashChain) StartSegment() { c.first = true }

// Append sets a line's number and hashes as those of the next line in the chain, and returns the line's encoding.
func (c *HashChain) Append(l *Line) []byte {
	c.Sequence++
	l.Sequence, l.PreviousHash, l.Hash = c.Sequence, "", ""
	if c.first {
		l.PreviousHash, c.first = c.LastHash, false
		if l.PreviousHash == "" {
			l.PreviousHash = noHash
		}
	}
	l.Hash = chainHash(c.LastHash, l)
	c.LastHash = l.Hash
	b, err := json.Marshal(l)
	if err != nil {
		panic("audit: encode a line: " + err.Error()) // a Line can always be encoded
	}
	return append(b, '\n')
}

// chainHash returns the hash of a line: it covers the previous hash and the line without its own hash.
func chainHash(previous string, l *Line) string {
	x := *l
	x.Hash = ""
	b, err := json.Marshal(&x)
	if err != nil {
		return "unwritable"
	}
	sum := sha256.Sum256(append(append([]byte(previous), '\n'), b...))
	return hex.EncodeToString(sum[:12])
}
