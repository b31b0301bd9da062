package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// noHash is the PreviousHash of a log's first line.
const noHash = "none"

// HashChain binds lines: the hash of each covers the hash before it and what the line says.
type HashChain struct {
	Sequence uint64 // of the last line
	LastHash string // "" before the first
	first    bool   // the next line is the first of its segment
}

// StartSegment begins another file: its first line has the hash before it.
func (c *HashChain) StartSegment() { c.first = true }

// Append sets a line's number and hashes as the next of the chain, and returns its encoding.
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
		panic("audit: encode a line: " + err.Error()) // a Line has no field that can't be encoded
	}
	return append(b, '\n')
}

// chainHash is a line's hash: of the hash before it and of the line without its own.
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
