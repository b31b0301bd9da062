package audit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestEveryRequestIsFoundInTheIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5000).Draw(t, "n")
		s := Interval{Number: 3}
		for i := range n {
			s.IDs = append(s.IDs, HashID(fmt.Appendf(nil, "t%d", i)))
		}
		b, _ := EncodeIndex(&s)
		interval, ids, ok := DecodeIndexHead(b)
		if !ok || interval != 3 || ids != n || IndexSize(n) != int64(len(b)) {
			t.Fatal("the head is wrong")
		}
		read := func(offset int64, n int) ([]byte, error) { return b[offset : offset+int64(n)], nil }
		for i := range n + 50 {
			found, err := FindID(HashID(fmt.Appendf(nil, "t%d", i)), ids, headSize, read)
			if err != nil || found != (i < n) {
				t.Fatalf("t%d of %d: found %v, %v", i, n, found, err)
			}
		}
	})
}
