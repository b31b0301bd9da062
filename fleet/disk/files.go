package disk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dapplerouter/fleet/audit"
)

// ExportSegment copies a closed segment into a folder, once: under its own name, complete or not at all. One that is there already with
// the same content counts as exported, so that an export whose end was not seen may be repeated; one with other content is an
// ErrSegmentConflict and stays as it is.
func ExportSegment(dir, name, to string) error {
	for _, suffix := range []string{audit.IndexSuffix, audit.LogSuffix} { // the lines last: a reader that finds them finds the index
		b, err := os.ReadFile(filepath.Join(dir, name+suffix))
		if err == nil {
			err = WriteOnce(to, name+suffix, b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteOnce writes a file into a folder, complete or not at all; see ExportSegment.
func WriteOnce(to, name string, b []byte) error {
	path := filepath.Join(to, name)
	existing, err := os.ReadFile(path)
	switch {
	case err == nil && bytes.Equal(existing, b):
		return nil
	case err == nil:
		return fmt.Errorf("%s: %w: two fronts of one name, or a log restored from an old copy; move it away to continue", path, ErrSegmentConflict)
	case !errors.Is(err, os.ErrNotExist):
		return err
	}
	temporary, err := writeTemporary(to, b)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary) }()      // its content stands under the final name, or is not wanted
	if err := os.Link(temporary, path); err != nil { // unlike a rename, it never replaces a file
		return err
	}
	d, err := os.Open(to)
	if err == nil {
		err = errors.Join(d.Sync(), d.Close())
	}
	return err
}

// ReplaceFile writes a file in another's place, complete or not at all.
func ReplaceFile(path string, b []byte) error {
	temporary, err := writeTemporary(filepath.Dir(path), b)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary) // it is not wanted
		return err
	}
	return nil
}

// writeTemporary writes a file through under a name of its own; on an error there is none.
func writeTemporary(dir string, b []byte) (path string, err error) {
	f, err := os.CreateTemp(dir, ".coming-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(f.Name()) // the first error counts
	}
	return f.Name(), err
}
